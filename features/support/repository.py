"""Paths of this repository, and the adapter's modules."""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ADAPTER = os.path.join(ROOT, 'platform')
# Appended rather than prepended, because the folder has the name of a standard library module, `platform`.
if ADAPTER not in sys.path:
    sys.path.append(ADAPTER)

import configuration_items  # noqa: E402, F401
import translation  # noqa: E402, F401
