"""Steps of ops.feature: a proxy's process, its flags, its log and its metrics."""

import signal
import subprocess
import sys
import urllib.request

import behave

import features.support.local_process as local_process
import features.support.metrics_text as metrics_text
import features.support.repository as repository
import zinctrail.runtime.logs as logs

# Words in the routine log messages of Twisted.
TWISTED_WORDS = ('starting', 'Starting', 'Timing out', 'Main loop')


def proxy_command(port, *flags):
    """Return the command line of a proxy at a port, with its HTTP API at the next port."""
    return [
        sys.executable,
        '-m',
        'zinctrail.cli.proxy',
        f'--addr=127.0.0.1:{port}',
        f'--http=127.0.0.1:{port + 1}',
        '--cell=r/c',
        '--seeds=127.0.0.1:1',
        *flags,
    ]


@behave.when('a proxy runs with {flags}, its metrics are scraped, and it is stopped')
def proxy_runs_and_is_scraped(context, flags: str):
    port = local_process.free_ports(2)
    command = proxy_command(port, *([] if flags == 'no flags' else [flags]))
    process = subprocess.Popen(command, cwd=repository.ROOT, stderr=subprocess.PIPE, text=True)
    timer = local_process.limit_time(process)
    context.lines = [process.stderr.readline()]
    with urllib.request.urlopen(f'http://127.0.0.1:{port + 1}/v1/metrics', timeout=30) as response:
        context.content_type = response.headers['content-type']
        context.metrics = response.read().decode()
    process.send_signal(signal.SIGTERM)
    context.lines += process.stderr.read().splitlines(True)
    context.code = process.wait()
    timer.cancel()


@behave.then('it exits with code 0, and each of its lines is a zinctrail log line in the {form} format')
def proxy_logs_in_form(context, form: str):
    assert context.code == 0, context.lines
    records = [logs.parse(line) for line in context.lines]
    assert len(records) >= 2, context.lines
    assert all(record and record['text'].startswith('prox: ') for record in records), context.lines
    assert all(line.startswith('{') == (form == 'json') for line in context.lines), context.lines
    first = records[0]
    assert first['event'] == 'start' and first['role'] == 'prox', first
    assert first['by'].startswith('127.0.0.1:'), first


@behave.then('the routine messages of Twisted are not among them')
def twisted_logs_are_absent(context):
    assert not any(word in line for line in context.lines for word in TWISTED_WORDS), context.lines


@behave.then('the scrape has the metrics of its lease, memory and file descriptors')
def scrape_has_process_metrics(context):
    values = metrics_text.parse(context.metrics)
    assert context.content_type.startswith('text/plain'), context.content_type
    assert values['lease_seconds'] == 0, values
    assert values['memory_bytes'] > 1 << 20, values
    assert 5 < values['descriptors'] < 200, values


@behave.when('a proxy is started with {flag}')
def proxy_starts_with_flag(context, flag: str):
    command = proxy_command(local_process.free_ports(2), flag)
    context.done = subprocess.run(
        command, cwd=repository.ROOT, capture_output=True, text=True, timeout=local_process.MAX_SECONDS
    )


@behave.then('it has exited with code 2 and named {name}')
def proxy_refuses_flag(context, name: str):
    assert context.done.returncode == 2 and name in context.done.stderr, context.done


@behave.then("a proxy's program starts without loading it")
def proxy_runs_without_exposition(context):
    program = (
        'import sys, zinctrail.cli.proxy, zinctrail.cli.controller, zinctrail.transport.host;'
        'sys.exit(any(m.startswith("prometheus_client") for m in sys.modules))'
    )
    done = subprocess.run([sys.executable, '-c', program], cwd=repository.ROOT)
    assert done.returncode == 0, done
