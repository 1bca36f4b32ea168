#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null 2>&1 || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
