#!/usr/bin/env python3
"""Prints the table of docs/lab.md from the plays in a folder: DIR/SCENARIO-SEED/figures.json."""
import json
import pathlib
import statistics
import sys

COLUMNS = [("served share", "served_share"), ("worth", "worth"), ("worst 10 s", "worst_window"), ("g", "g"),
           ("beyond quotas", "beyond_share"), ("handshakes a try", "handshakes_per_try"), ("calls a second", "calls_per_s")]


def spread(values, places):
    return f"{statistics.median(values):.{places}f} ({min(values):.{places}f} to {max(values):.{places}f})"


plays = {}
for path in sorted(pathlib.Path(sys.argv[1]).glob("*/figures.json")):
    play = json.loads(path.read_text())
    plays.setdefault(play["scenario"], []).append(play)
print("| scenario | nodes | " + " | ".join(title for title, _ in COLUMNS) + " | rules broken |")
print("| --- " * (len(COLUMNS) + 3) + "|")
for name, all_of in plays.items():
    cells = [spread([p["figures"][key] for p in all_of], 0 if key == "calls_per_s" else 3) for _, key in COLUMNS]
    broken = sum(len(p["rules"]) for p in all_of)
    print(f"| {name} | {all_of[0]['nodes']} | " + " | ".join(cells) + f" | {broken} |")
