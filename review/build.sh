#!/usr/bin/env bash
# Checks that the stand-ins which the scripts start can run after the deploy file's build,
# which installs them with the router into target/deps. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -e target/deps/.built ] || { echo "run the build of deploy/system.toml first"; exit 2; }
PYTHONPATH=target/deps python3 -c "from sapphirerock.standin.cli import main; main()" \
    --help >/dev/null
PYTHONPATH=target/deps python3 -m sapphirerock.commands.router --help >/dev/null
python3 -m py_compile review/harness.py
