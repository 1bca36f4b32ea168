#!/bin/sh
# Compares the cost of a request in this tree with another revision: builds both, runs bench/cost.cpp of each alternately and
# prints for each value the median here, the median there and their ratio with the smallest and largest ratio of the rounds.
#   sh bench/compare.sh [REVISION] [ROUNDS]      default: HEAD^ and 7
set -eu
cd "$(dirname "$0")/.."
rev=${1:-HEAD^}; rounds=${2:-7}; at=$PWD/build-compare
mkdir -p "$at"
[ -d "$at/tree" ] && git worktree remove --force "$at/tree"
git worktree prune
git worktree add --detach "$at/tree" "$rev" >/dev/null 2>&1
build() {  # source tree, build folder, program
  # The adapter's option has two names: revisions before its renaming know PETRELRAIL_DRILL.
  cmake --no-warn-unused-cli -S "$1" -B "$2" -DCMAKE_BUILD_TYPE=Release -DPETRELRAIL_SIMULATOR_ADAPTER=OFF -DPETRELRAIL_DRILL=OFF >/dev/null
  cmake --build "$2" --target petrelrail_node -j "$(nproc)" >/dev/null
  g++ -std=c++20 -O2 -fno-builtin-memcpy -fno-builtin-memmove -fno-tree-loop-distribute-patterns \
    -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION -DBOOST_ASIO_NO_DEPRECATED \
    -I"$1/include" -I"$1/src" -I"$1/src/node" -I"$1/tests" "$1/bench/cost.cpp" \
    "$2/libpetrelrail_node.a" "$2/libpetrelrail_fleet.a" "$2/libpetrelrail_gateway.a" -lsodium -lspdlog -lfmt -lpthread -ldl \
    -o "$3"
}
build "$PWD" "$at/here" "$at/cost-here"
build "$at/tree" "$at/there" "$at/cost-there"
: > "$at/here.txt"; : > "$at/there.txt"
i=0
while [ $i -lt "$rounds" ]; do
  "$at/cost-here" >> "$at/here.txt"
  "$at/cost-there" >> "$at/there.txt"
  i=$((i + 1))
done
git worktree remove --force "$at/tree"
paste -d' ' "$at/here.txt" "$at/there.txt" | awk -v rounds="$rounds" '
  { key = $1 " " $2; if (!(key in n)) order[++keys] = key; k = ++n[key]; a[key, k] = $3; b[key, k] = $6 }
  function median(v, key, m,   i, j, t) {
    for (i = 1; i <= m; ++i) s[i] = v[key, i]
    for (i = 1; i <= m; ++i) for (j = i + 1; j <= m; ++j) if (s[j] < s[i]) { t = s[i]; s[i] = s[j]; s[j] = t }
    return s[int((m + 1) / 2)]
  }
  END {
    printf "%-28s %10s %10s %8s %s\n", "figure", "here", "there", "ratio", "(least, greatest)"
    for (q = 1; q <= keys; ++q) {
      key = order[q]; m = n[key]; lo = 1e9; hi = 0
      for (i = 1; i <= m; ++i) if (b[key, i] != 0) { r = a[key, i] / b[key, i]; if (r < lo) lo = r; if (r > hi) hi = r }
      x = median(a, key, m); y = median(b, key, m)
      printf "%-28s %10.2f %10.2f %8s", key, x, y, y ? sprintf("%.3f", x / y) : "-"
      printf y ? " (%.3f, %.3f)\n" : "\n", lo, hi
    }
  }'
