#!/usr/bin/env bash
# Build what the scripts of cases 11 to 15 start beside the routers: the project's
# store stand-in, and the engines and callers in review/standins-3. Needs the build of
# the deploy file, whose libraries it uses, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/aiohttp || { echo "run the build of the deploy file first" >&2; exit 1; }
rm -rf target/review-3
mkdir -p target/review-3
cp -r src/sapphirerock target/review-3/
cp review/standins-3/*.py target/review-3/
find target/review-3 -name __pycache__ -type d -prune -exec rm -rf {} +
python3 -m compileall -q target/review-3
