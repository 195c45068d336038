#!/bin/sh
# Two availability zones on loopback. A long generation survives the death of its
# engine, and an order that is sent twice runs once. The shell starts every
# process and stops it by its process id.
set -eu
cd "$(dirname "$0")/.."
BIN=.venv/bin
RUN=.demo
ROOT_TOKEN=demo-root-token
KEY=demo-weavers-key
PIDS=""

rm -rf "$RUN"
mkdir -p "$RUN"
hash_key() { "$BIN/sapphirerock-load" hash "$1"; }
stop_all() { for pid in $PIDS; do kill "$pid" 2>/dev/null || true; done; }
trap stop_all EXIT INT TERM

# start NAME COMMAND...: runs in the background, its process id in $RUN/NAME.pid
start() {
    name=$1
    shift
    "$@" >"$RUN/$name.log" 2>&1 &
    echo $! >"$RUN/$name.pid"
    PIDS="$PIDS $!"
}

write_host() {  # HOST ZONE CALLER_PORT PEER_PORT
    cat >"$RUN/$1.json" <<JSON
{"host": "$1", "availability_zone": "$2", "region": "highlands",
 "address": "127.0.0.1", "caller_port": $3, "peer_port": $4,
 "platform_url": "http://127.0.0.1:14100",
 "peer_key": "demo-key-of-all-peers",
 "root_operator_sha256": "$(hash_key $ROOT_TOKEN)",
 "tracing": {"exporter": "file", "target": "$RUN/$1.spans"}}
JSON
}

echo "1. the platform, two zones with two routers and two engines each"
start platform "$BIN/sapphirerock-standin" platform --port 14100
for engine in 1 2 3 4; do
    start "engine-$engine" "$BIN/sapphirerock-standin" engine \
        --name "engine-$engine" --port "1413$engine" --model pattern-critique \
        --token-interval 0.03
done
start orders-1 "$BIN/sapphirerock-standin" service --name orders-1 --port 14141
write_host router-1a altiplano 14111 14211
write_host router-1b altiplano 14112 14212
write_host router-2a sur-andino 14121 14221
write_host router-2b sur-andino 14122 14222
sleep 1
for host in router-1a router-1b router-2a router-2b; do
    "$BIN/sapphirerock-router" --check "$RUN/$host.json" >/dev/null
    start "$host" "$BIN/sapphirerock-router" "$RUN/$host.json"
done
sleep 4

echo "2. settings from version control: examples/demo"
export SAPPHIREROCK_ROUTER=http://127.0.0.1:14111 SAPPHIREROCK_TOKEN=$ROOT_TOKEN
"$BIN/sapphirerockctl" apply --wait examples/demo
sleep 1
"$BIN/sapphirerockctl" status

echo "3. a generation of 150 tokens; its engine is killed midway"
"$BIN/sapphirerock-load" generate --router http://127.0.0.1:14111 \
    --router http://127.0.0.1:14121 --key $KEY --model pattern-critique \
    --prompt "critique this long pattern archive" --tokens 150 &
CALLER=$!
sleep 3
BUSY=$("$BIN/sapphirerockctl" status --json |
    "$BIN/python" -c 'import json, sys
print(next(u["name"] for u in json.load(sys.stdin)["upstreams"] if u["in_flight"]))')
echo "   killing $BUSY"
kill -9 "$(cat "$RUN/$BUSY.pid")"
wait $CALLER

echo "4. one order, sent twice with one key through two hosts"
"$BIN/sapphirerock-load" order --router http://127.0.0.1:14112 \
    --router http://127.0.0.1:14122 --key $KEY --service orders \
    --path orders/fleece --idempotency-key purchase-1
"$BIN/python" -c 'import json, urllib.request
runs = json.load(urllib.request.urlopen("http://127.0.0.1:14141/runs"))
print("   runs by key:", runs)
raise SystemExit(0 if runs == {"purchase-1": 1} else 1)'

echo "5. a router is told to stop; spans of each hop are in $RUN/*.spans"
kill "$(cat "$RUN/router-1b.pid")"

echo "6. the same on a shared platform: python -m tools.platformdemo"
"$BIN/python" -m tools.platformdemo
echo "all well"
