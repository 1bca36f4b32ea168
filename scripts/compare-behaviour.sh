#!/bin/bash
# Checks that this working tree behaves like a revision: builds both, runs every scenario of the lab with each on the simulated
# runtime, replays the simulator adapter's transcript, and compares statistics, events, logs and answers.
#   scripts/compare-behaviour.sh REVISION [SEED...]      default seeds: 1 and 2
# Exit status 0: no difference.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
revision=$(git rev-parse --verify "${1:?usage: compare-behaviour.sh REVISION [SEED...]}^{commit}")
shift
seeds=${*:-1 2}
work=$root/build-compare-behaviour
reference=$work/$revision
mkdir -p "$work"
if command -v ccache >/dev/null 2>&1; then
  export CMAKE_CXX_COMPILER_LAUNCHER=ccache
  export CCACHE_BASEDIR="$root" CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime
fi

# The adapter's target was renamed; older revisions know it as petrelrail_drill.
adapter_of() { if grep -q petrelrail_simulator_adapter "$1/CMakeLists.txt"; then echo petrelrail_simulator_adapter; else echo petrelrail_drill; fi; }

build() {  # source tree, build folder
  cmake -S "$1" -B "$2" -DCMAKE_BUILD_TYPE=Release -DPETRELRAIL_LAB=ON >/dev/null
  cmake --build "$2" --target petrelrail-lab "$(adapter_of "$1")" -j "$(nproc)" >/dev/null
}

# Zeroes values that differ between two runs of the same build, such as the lab's own time and memory. If a key of the lab's
# result files is renamed, add one expression here that maps the old name to the new; there is none yet.
normalize() { sed -E -e 's/"(lab|cpu_us_per_try|memory_mb|real_s|lag_ms[a-z_]*)":[^,}]*/"\1":0/g' "$1"; }

run_scenario() {  # build folder, tree, result folder, scenario, seed
  local out=$3/$4-$5
  mkdir -p "$out"
  "$1/petrelrail-lab" run "$2/lab/scenarios/$4.toml" --seed "$5" --quiet --trace --out "$out" >"$out/summary.txt" 2>&1 || true
  for file in "$out"/*.json*; do normalize "$file" >"$file.normal"; sha256sum <"$file.normal" >"$file.sum"; done
  # Traces are large: keeps only their hashes, and the statistics in readable form.
  rm -f "$out"/events.jsonl "$out"/events.jsonl.normal
  sed -i -e "s#$3##g" "$out/summary.txt"
}
export -f run_scenario normalize

run_all() {  # build folder, tree, result folder
  local scenarios
  scenarios=$(cd "$2/lab/scenarios" && ls ./*.toml | sed -e 's#^\./##' -e 's#\.toml$##')
  for scenario in $scenarios; do for seed in $seeds; do echo "$1 $2 $3 $scenario $seed"; done; done |
    xargs -P "$(nproc)" -L 1 bash -c 'run_scenario "$@"' _
  "$1/$(adapter_of "$2")" <"$root/tests/golden/adapter_input.jsonl" >"$3/adapter_output.jsonl"
}

if [ ! -f "$reference/done-$(echo "$seeds" | tr ' ' -)" ]; then
  rm -rf "$reference"
  git worktree prune
  git worktree add --detach --force "$reference/tree" "$revision" >/dev/null 2>&1
  build "$reference/tree" "$reference/build"
  run_all "$reference/build" "$reference/tree" "$reference/result"
  touch "$reference/done-$(echo "$seeds" | tr ' ' -)"
fi
build "$root" "$work/current"
rm -rf "$work/result"
run_all "$work/current" "$root" "$work/result"

runs=$(find "$work/result" -name summary.txt | wc -l)
if diff -rq "$reference/result" "$work/result"; then
  echo "compare-behaviour: $runs plays and the adapter's transcript, no difference from $revision"
else
  echo "compare-behaviour: differences from $revision, see $work/result and $reference/result"
  exit 1
fi
