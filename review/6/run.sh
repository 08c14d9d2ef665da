#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# case.py writes record.txt in this folder: what was sent, answered and run.
cd "$(dirname "$0")" && exec python3 -B case.py
