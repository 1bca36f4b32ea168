#!/bin/sh
# Installs missing packages, builds the node and the lab, runs five real nodes through a kill and a counter that does not
# answer, and prints the result and the path of the report.
set -eu
cd "$(dirname "$0")/.."
sh scripts/packages.sh plots
cmake -S . -B build -DCMAKE_BUILD_TYPE=Release -DPETRELRAIL_LAB=ON >/dev/null
cmake --build build -j "$(nproc 2>/dev/null || echo 2)" --target petrelrail petrelrail-lab
out=$(mktemp -d "${TMPDIR:-/tmp}/petrelrail-demo-XXXXXX")
status=0
build/petrelrail-lab run lab/scenarios/demo.toml --carrier processes --out "$out" || status=$?
build/petrelrail-lab report "$out" --to "$out/report.html"
exit "$status"
