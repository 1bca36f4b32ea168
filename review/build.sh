#!/bin/sh
# Prepares what the cases start. The stand-ins are Python scripts that use its standard library alone: they are only checked
# here. The edge node is built with the command of the deploy file, unless that was done before.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name, encoding="utf-8").read(), name)' common/standins.py [1-3]/case.py
[ -x ../build/petrelrail ] || (cd .. && sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)")
