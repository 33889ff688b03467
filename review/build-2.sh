#!/bin/sh
# Builds the stand-ins of the cases 6 and up: they are Python, so this only checks that each of them compiles.
set -e
cd "$(dirname "$0")"
for file in common_2/*.py [0-9]*/case.py; do
    case "$file" in [1-5]/*) continue ;; esac
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
