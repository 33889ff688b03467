"""Steps of platform_names.feature: the platform's names stay in platform/, and the deploy file fits the programs."""

import ast
import glob
import json
import os
import re
import subprocess
import sys
import tomllib

import behave

import features.support.platform_documents as platform_documents
import features.support.repository as repository

ROOT, ADAPTER = repository.ROOT, repository.ADAPTER
translation, configuration_items = repository.translation, repository.configuration_items
# Plain words that the platform and the product both use; the product had each of them first.
SHARED_WORDS = {
    'address',
    'cells',
    'configuration',
    'evacuation',
    'fault',
    'faults',
    'holder',
    'kind',
    'locks',
    'numbers',
    'region',
    'state',
    'value',
    'watch',
}

# Terms of the field that are also names of platform fields: identifiers and sentences may use them, but no string of
# the package may consist of one, as a string that reads or writes such a field would.
FIELD_TERMS = {
    'available',
    'idempotent',
    'instances',
    'priority',
    'readiness',
    'zone',
}

# The product's own programs, which begin as the platform's headers do.
with open(os.path.join(ROOT, 'pyproject.toml'), 'rb') as pyproject:
    PROGRAMS = {name for name in tomllib.load(pyproject)['project']['scripts'] if '-' in name}


# Each word is split in two, because the search for these words also reads this file.
REFUSED = '(?i)' + '|'.join(
    a + b
    for a, b in (
        ('fleet', 'bench'),
        ('ld_pre', 'load'),
        ('ptr', 'ace'),
        ('/dev/', 'shm'),
        ('shared_', 'memory'),
        ('shm_', 'open'),
    )
)


def platform_words():
    """Return the platform's words, read from the adapter's modules."""
    tables = (
        translation.HEADERS,
        configuration_items.KINDS,
        translation.STATES,
        configuration_items.ROUTE_FIELDS,
        configuration_items.SPLIT_FIELDS,
        configuration_items.SERVICE_FIELDS,
        configuration_items.LIMIT_FIELDS,
        configuration_items.REMOVAL_FIELDS,
        configuration_items.LIST_NAMES,
    )
    out = {k for t in tables for k in t} | {k[1] for k in translation.CALLS}
    trees = []
    for name in ('translation.py', 'configuration_items.py'):
        with open(os.path.join(ADAPTER, name)) as f:
            trees.append(ast.parse(f.read()))
    for n in (node for tree in trees for node in ast.walk(tree)):
        # Names of fields that the adapter reads with .get().
        if (
            isinstance(n, ast.Call)
            and isinstance(n.func, ast.Attribute)
            and n.func.attr == 'get'
            and n.args
            and isinstance(n.args[0], ast.Constant)
            and isinstance(n.args[0].value, str)
        ):
            out.add(n.args[0].value)
    product_words = {str(v) for t in tables for v in t.values()}
    assert len(out - product_words - SHARED_WORDS) > 35, sorted(out - product_words - SHARED_WORDS)
    return {w.lower() for w in out - product_words - SHARED_WORDS}


def words_of(text, names):
    """Return the platform's words in a string; in a sentence, terms of the field do not count as names of fields."""
    found = {word.lower() for word in re.findall(r'[\w-]+', text)} & names
    return found - FIELD_TERMS if ' ' in text.strip() else found


def names_in(source, names):
    """Return the names that a source uses in code or strings; names with a hyphen or underscore also in comments."""
    reserved = names - FIELD_TERMS
    got = {t for t in re.findall(r'[\w-]+', source.lower()) if t in reserved and re.search('[_-]', t)}
    got |= set(re.findall(r'zinctrail-[a-z-]+', source.lower())) - PROGRAMS
    got |= {t for t in re.findall(r'/v1/([a-z]+)', source.lower()) if t in {k[1] for k in translation.CALLS} - {'cell'}}
    tree = ast.parse(source)
    docs = {
        id(n.body[0].value)
        for n in ast.walk(tree)
        if isinstance(n, (ast.Module, ast.ClassDef, ast.FunctionDef)) and n.body and isinstance(n.body[0], ast.Expr)
    }
    for n in ast.walk(tree):
        if isinstance(n, ast.Constant) and isinstance(n.value, (str, bytes)) and id(n) not in docs:
            got |= words_of(n.value if isinstance(n.value, str) else n.value.decode('latin-1'), names)
        for name in (getattr(n, 'id', None), getattr(n, 'attr', None), getattr(n, 'arg', None)):
            if name and name.lower() in reserved:
                got.add(name)
    return got


def sources():
    """Return the source files of the package."""
    out = glob.glob(os.path.join(ROOT, 'zinctrail', '**', '*.py'), recursive=True)
    assert len(out) > 40
    return out


@behave.then('no source of the package holds a header, field, path or word of the platform')
def no_source_holds_platform_names(context):
    names, found = platform_words(), {}
    for name in sorted(sources()):
        with open(name) as f:
            got = names_in(f.read(), names)
        if got:
            found[os.path.relpath(name, ROOT)] = sorted(got)
    # All findings are reported together, so that one does not hide another.
    assert not found, found


@behave.then('a planted name of each kind is found')
def planted_names_are_seen(context):
    names = platform_words()
    for planted in (
        "x = 'Zinctrail-Attempt-Id'",
        "x = b'zinctrail-anything-new'",
        "row['service_name']",
        'row.attempt_limit',
        'def f(weighted_split): pass',
        'f(route_list=1)',
        "x = 'idempotent'",
        '# as hold_ms says\nx = 1',
        "x = '/v1/configuration'",
        "x = 'GET /v1/instances/i'",
        "row['zone']",
        "x = f'zone={x}'",
        "x = 'priority'",
        'x = home_regions',
        "x = {'concerns': 1}",
    ):
        assert names_in(planted, names), planted
    assert not names_in("x = {'cell': 'a', 'pool': 'b', 'zt-id': 1}", names)
    assert not names_in("zone = f'No endpoint is up in zone {x}.'", names)


@behave.then("a program started from platform/ still imports the standard library's platform")
def standard_platform_is_imported(context):
    assert not os.path.exists(os.path.join(ADAPTER, '__init__.py'))
    code = (
        'import sys; sys.path[0] = {!r}; import {}; import platform, zinctrail;'
        'print(platform.__file__, platform.python_version(), zinctrail.__file__, sep="\\n")'
    )
    for program in ('controller', 'proxy'):
        got = subprocess.run(
            [sys.executable, '-c', code.format(ADAPTER, program)],
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        assert got.returncode == 0, got.stdout
        at, version, ours = got.stdout.split('\n')[:3]
        assert at == os.path.join(os.path.dirname(os.__file__), 'platform.py') and version, got.stdout
        assert ours.startswith((os.path.realpath(ROOT), ROOT)), got.stdout


@behave.then('no module of platform/ has the name of a standard one')
def no_module_shadows_standard_one(context):
    here = {os.path.basename(f).removesuffix('.py') for f in glob.glob(os.path.join(ADAPTER, '*.py'))}
    assert len(here) >= 4 and not here & sys.stdlib_module_names, here


def toml(*path):
    """Return the content of a TOML file of the repository."""
    with open(os.path.join(ROOT, *path), 'rb') as f:
        return tomllib.load(f)


@behave.then('the build installs what pyproject.toml asks for, pinned as constraints.txt has it')
def build_installs_pinned_packages(context):
    build = toml('deploy', 'system.toml')['build'].split()
    assert build[:4] == ['python3', '-m', 'pip', 'install'], build
    assert build[build.index('--target') + 1] == 'target/deps' and build[build.index('-c') + 1] == 'constraints.txt'
    pins = [w for w in build if '==' in w]
    assert sorted(pins) == sorted(toml('pyproject.toml')['project']['dependencies']), pins
    with open(os.path.join(ROOT, 'constraints.txt')) as f:
        fixed = {line.strip().lower() for line in f if '==' in line}
    assert {p.lower() for p in pins} <= fixed, pins


@behave.then('the system packages that the build needs are listed')
def system_packages_are_listed(context):
    deploy = toml('deploy', 'system.toml')
    listed = deploy['packages']
    assert isinstance(listed, list) and all(re.fullmatch('[a-z0-9][a-z0-9+.-]+', name) for name in listed), listed
    assert len(listed) == len(set(listed)), listed
    # The build may call nothing but the interpreter and its pip; another command would need a package of its own.
    assert deploy['build'].split()[:3] == ['python3', '-m', 'pip'], deploy['build']
    assert not set(deploy['build']) & set(';&|`$()<>'), deploy['build']
    assert {'python3', 'python3-pip'} <= set(listed), listed


@behave.then('each role runs a program that exists, with a template that renders its settings')
def roles_run_programs_with_templates(context):
    roles = toml('deploy', 'system.toml')['roles']
    assert {r['run'].split()[1] for r in roles.values()} == {
        'platform/controller.py',
        'platform/proxy.py',
    }
    for role in roles.values():
        first, program, *more = role['run'].split(' ')
        assert first == 'python3' and os.path.exists(os.path.join(ROOT, program)) and not more, role
        assert ('count' in role) != ('share' in role) and 0 < role.get('share', 1) <= 1, role
        name = os.path.join(ROOT, role['template'])
        assert os.path.getsize(name) < 64 << 10
        fields = platform_documents.process_settings(
            role['on'], '10.0.0.1', 'z1', ['10.0.0.1:8649'], data='/data/x' if role['on'] == 'core' else None
        )
        with open(name) as f:
            assert json.loads(platform_documents.fill_template(f.read(), fields)) == fields


@behave.then('the directory is served, and no two roles of a machine class serve the same function')
def directory_is_served_once(context):
    roles = toml('deploy', 'system.toml')['roles']
    known = {'edge', 'control_plane', 'directory_service'}
    served = [(r['on'], s) for r in roles.values() for s in r['serves']]
    assert len(served) == len(set(served)) and {s for _, s in served} == known, served
    traffic = [r for r in roles.values() if 'edge' in r['serves']]
    assert len(traffic) == 1 and traffic[0]['on'] == 'edge' and traffic[0]['share'] == 1.0, traffic
    assert all([r['on'] for r in roles.values()].count(c) <= 2 for c in ('edge', 'core'))


@behave.then('no source contains a word that the deploy page forbids')
def no_source_names_refused_things(context):
    for name in sources() + glob.glob(os.path.join(ADAPTER, '*')) + [os.path.join(ROOT, 'deploy', 'system.toml')]:
        if os.path.isfile(name):
            with open(name) as f:
                got = re.findall(REFUSED, f.read())
            assert not got, (name, got)
