#!/usr/bin/env bash
# Build what the scripts of cases 11 to 15 start beside the routers: the store, the
# engines and the callers in review/standins-3. They need no library and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp review/standins-3/*.py target/review-3/
python3 -m compileall -q target/review-3
