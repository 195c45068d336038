#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review:target/deps exec python3 review/2/case.py
