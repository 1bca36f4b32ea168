#!/bin/sh
# Prepares the stand-ins of the cases. They are Python scripts that use its standard library alone: they are only checked here.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name, encoding="utf-8").read(), name)' common/standins.py [1-3]/case.py
