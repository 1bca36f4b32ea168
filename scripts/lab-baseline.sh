#!/bin/sh
# Runs every scenario on the simulated runtime with seeds 1 to 3 and prints the table of docs/lab.md. The optional argument is
# the path of petrelrail-lab.
set -eu
cd "$(dirname "$0")/.."
lab=${1:-build/petrelrail-lab}
out=$(mktemp -d "${TMPDIR:-/tmp}/petrelrail-baseline-XXXXXX")
trap 'rm -rf "$out"' EXIT
for scenario in lab/scenarios/*.toml; do
  for seed in 1 2 3; do echo "$scenario --seed $seed --out $out/$(basename "$scenario" .toml)-$seed"; done
done | xargs -P "$(nproc)" -L 1 "$lab" run >/dev/null || echo "some plays did not hold; the table tells" >&2
python3 scripts/lab-table.py "$out"
