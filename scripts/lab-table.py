#!/usr/bin/env python3
"""Prints the table of docs/lab.md from the results of runs: DIR/SCENARIO-SEED/figures.json."""
import json
import pathlib
import statistics
import sys

COLUMNS = [("served share", "served_share"), ("worth", "worth"), ("worst 10 s", "worst_window"), ("g", "g"),
           ("beyond quotas", "beyond_share"), ("handshakes a try", "handshakes_per_try"), ("calls a second", "calls_per_s")]


def format_spread(values, decimals):
    return f"{statistics.median(values):.{decimals}f} ({min(values):.{decimals}f} to {max(values):.{decimals}f})"


runs_by_scenario = {}
for path in sorted(pathlib.Path(sys.argv[1]).glob("*/figures.json")):
    run = json.loads(path.read_text())
    runs_by_scenario.setdefault(run["scenario"], []).append(run)
print("| scenario | nodes | " + " | ".join(title for title, _ in COLUMNS) + " | rules broken |")
print("| --- " * (len(COLUMNS) + 3) + "|")
for name, runs in runs_by_scenario.items():
    cells = [format_spread([run["figures"][key] for run in runs], 0 if key == "calls_per_s" else 3) for _, key in COLUMNS]
    violations = sum(len(run["rules"]) for run in runs)
    print(f"| {name} | {runs[0]['nodes']} | " + " | ".join(cells) + f" | {violations} |")
