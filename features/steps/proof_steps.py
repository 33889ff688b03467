"""Steps of proof.feature: everything that docs/proof.md names exists, and it names every checker, fault and guard."""

import ast
import glob
import importlib
import os
import re

import behave

import zinctrail.simulation.checks as checks
import zinctrail.simulation.days as days
import zinctrail.simulation.open_checks as open_checks
import zinctrail.simulation.open_days as open_days

ROOT = os.path.join(os.path.dirname(__file__), '..', '..')
# Test tools in the package, which may start processes, by path.
TOOLS = {
    'fleet/replay_processes.py',
    'fleet/processes.py',
    'simulation/fingerprints.py',
    'simulation/first_starts.py',
    'simulation/loopback/children.py',
    'simulation/scale/memory.py',
    'simulation/scale/runner.py',
    'simulation/search.py',
}
KINDS = ('checker', 'fault', 'guard', 'open-checker', 'open-fault', 'open-guard', 'feature', 'code')
FORBIDDEN_MODULES = {'mmap', 'multiprocessing.shared_memory'}
PROCESS_MODULES = {'subprocess', 'multiprocessing'}


def read(path: str) -> str:
    """Return the text of a file."""
    with open(path) as file:
        return file.read()


def names_in_proof() -> set[tuple[str, str]]:
    """Return {(kind, name)} of everything that docs/proof.md names."""
    page = read(os.path.join(ROOT, 'docs', 'proof.md'))
    return set(re.findall(rf'`({"|".join(KINDS)}):([^`*]+)`', page))


def guards(steps: str = 'days_steps.py') -> set[str]:
    """Return the names of the guards that a step file can switch off.

    They are read from the text of the file, because behave does not load step files as modules.
    """
    tree = ast.parse(read(os.path.join(os.path.dirname(__file__), steps)))
    tables = [node.value for node in tree.body if isinstance(node, ast.Assign) and node.targets[0].id == 'GUARDS']
    return {key.value for key in tables[0].keys}


def open_guards() -> set[str]:
    """Return the names of the guards of scenarios with open traffic."""
    return guards('open_days_steps.py')


def is_code(name: str) -> bool:
    """Return True if a dotted name within the package is a module or an attribute of one."""
    parts = name.split('.')
    for count in range(len(parts) - 1, 0, -1):
        try:
            found = importlib.import_module('zinctrail.' + '.'.join(parts[:count]))
        except ImportError:
            continue
        for part in parts[count:]:
            found = getattr(found, part, None)
        return found is not None
    return False


def features() -> set[str]:
    """Return the names of all features."""
    files = glob.glob(os.path.join(ROOT, 'features', '*.feature'))
    return {os.path.basename(file).removesuffix('.feature') for file in files}


@behave.then('every checker, fault, guard, feature and name of code in docs/proof.md exists')
def names_exist(context):
    exists = {
        'checker': checks.ALL.__contains__,
        'fault': days.FAULTS.__contains__,
        'guard': guards().__contains__,
        'open-checker': open_checks.ALL.__contains__,
        'open-fault': open_days.FAULTS.__contains__,
        'open-guard': open_guards().__contains__,
        'feature': features().__contains__,
        'code': is_code,
    }
    names = names_in_proof()
    assert len(names) > 100, len(names)
    wrong = [(kind, name) for kind, name in sorted(names) if not exists[kind](name)]
    assert not wrong, wrong


@behave.then('every checker, fault and guard is named in docs/proof.md')
def all_are_named(context):
    required = {
        'checker': checks.ALL,
        'fault': days.FAULTS,
        'guard': guards(),
        'open-checker': open_checks.ALL,
        'open-fault': open_days.FAULTS,
        'open-guard': open_guards(),
    }
    names = names_in_proof()
    missing = [(kind, name) for kind, table in required.items() for name in table if (kind, name) not in names]
    assert not missing, missing
    rows = ''.join(read(file) for file in glob.glob(os.path.join(ROOT, 'features', 'never_*.feature')))
    assert not [guard for guard in guards() | open_guards() if f'| {guard} ' not in rows]


@behave.then(
    'only the test tools of the package import subprocess, and nothing imports mmap or multiprocessing.shared_memory'
)
def only_tools_start_processes(context):
    files = glob.glob(os.path.join(ROOT, 'zinctrail', '**', '*.py'), recursive=True)
    assert len(files) > 40
    for name in files:
        tree = ast.parse(read(name))
        imported = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
        assert not imported & FORBIDDEN_MODULES, name
        path = os.path.relpath(name, os.path.join(ROOT, 'zinctrail'))
        assert not imported & PROCESS_MODULES or path in TOOLS, (path, imported)
