#!/bin/sh
# Builds the stand-ins that the scripts of this review start: those of testbed/, and the
# project's own for the store, which the build of the deploy file has put into target/.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/testbed
PYTHONPATH=target/deps python3 -c "import sapphirerock.standin.cli, aiohttp"
