#!/usr/bin/env bash
# Play the case once; see case.py. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/review-3" PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 115 python3 review/14/case.py
