"""Runs every feature, several at a time, and closes with a count.

  python features/run.py [FEATURE ...]

Exit 0 only if something ran and nothing failed.
"""

import concurrent.futures
import glob
import json
import os
import subprocess
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)


def one(feature):
    with tempfile.NamedTemporaryFile(suffix='.json') as out:
        got = subprocess.run([sys.executable, '-m', 'behave', '--no-capture', '--no-summary', '--format', 'plain',
                              '--format', 'json', '--outfile', '/dev/stdout', '--outfile', out.name, feature],
                             cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        try:
            docs = json.load(open(out.name))
        except ValueError:
            docs = []
    status = [e['status'] for d in docs for e in d.get('elements', ()) if e['type'] != 'background']
    passed = sum(1 for s in status if s == 'passed')
    failed = sum(1 for s in status if s not in ('passed', 'skipped'))
    # Why: a feature that broke before any scenario must not pass for an empty one.
    if got.returncode and not failed:
        failed = 1
    return feature, passed, failed, got.stdout


def main(argv):
    features = argv or sorted(glob.glob(os.path.join(HERE, '*.feature')))
    passed = failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count() or 2) as pool:
        for feature, p, f, text in pool.map(one, features):
            passed, failed = passed + p, failed + f
            print(f'{os.path.basename(feature)}: {p} passed, {f} failed, of its scenarios', flush=True)
            if f:
                print(text, flush=True)
    print(f'{passed} passed, {failed} failed')
    return 0 if passed and not failed else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
