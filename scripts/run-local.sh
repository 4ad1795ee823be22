#!/usr/bin/env bash
# Builds wagtaildrum, starts it on loopback as separate processes (the
# platform, engine and tool stand-ins, one sidecar per endpoint, an entry
# instance), applies deploy/local/config.toml, plays the Sul and the
# Jūrassakari workloads through it, prints their outcomes, and stops
# everything. Logs are left in the printed directory.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$(pwd)
work=$(mktemp -d -t wagtaildrum-local.XXXXXX)
bin="$work/wagtaildrum"
go build -o "$bin" ./cmd/wagtaildrum

pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap cleanup EXIT

start() { # name, subcommand words..., settings file last
  local name=$1; shift
  "$bin" "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

wait_up() { # debug address
  for _ in $(seq 1 100); do
    if curl -sf "http://$1/debug/state" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "process with debug address $1 did not start; logs in $work" >&2
  exit 1
}

cat >"$work/platform.toml" <<TOML
instance_id = "platform-1"
data_centre = "riga-a"
listen = "127.0.0.1:17000"
debug = "127.0.0.1:17001"
instance_lag = "3s"
TOML
start platform standin platform -s "$work/platform.toml"
wait_up 127.0.0.1:17001

# name model step port-index data-centre
engines=(
  "workshop-1 workshop 800us 1 porto-alegre"
  "workshop-2 workshop 800us 2 caxias"
  "notification-1 notification 800us 3 pelotas"
  "fleetdesk-1 fleetdesk 1ms 4 riga-a"
  "fleetdesk-2 fleetdesk 1ms 5 riga-b"
)
for e in "${engines[@]}"; do
  read -r name model step i dc <<<"$e"
  cat >"$work/$name-engine.toml" <<TOML
instance_id = "$name-engine"
data_centre = "$dc"
listen = "127.0.0.1:1710$i"
debug = "127.0.0.1:1720$i"
model = "$model"
step = "$step"
max_batch = 32
cache_blocks = 2048
block_tokens = 16
report_lag = "500ms"
event_loss_percent = 10
TOML
  start "$name-engine" standin engine -s "$work/$name-engine.toml"
done
cat >"$work/tools-1-tool.toml" <<TOML
instance_id = "tools-1-tool"
data_centre = "riga-c"
listen = "127.0.0.1:17106"
debug = "127.0.0.1:17206"
TOML
start tools-1-tool standin tool -s "$work/tools-1-tool.toml"

for i in 1 2 3 4 5 6; do
  name=$(sed -n "/sidecar = \"127.0.0.1:1900$i\"/{x;p};h" deploy/local/config.toml | head -1)
  role=engine; [ "$i" = 6 ] && role=tool
  cat >"$work/sidecar-$i.toml" <<TOML
instance_id = "sidecar-$i"
data_centre = "local"
listen = "127.0.0.1:1900$i"
debug = "127.0.0.1:1930$i"
endpoint = "http://127.0.0.1:1710$i"
role = "$role"
platform = "http://127.0.0.1:17000"
max_concurrent = 16
max_queued = 256
drain_timeout = "30s"
TOML
  start "sidecar-$i" sidecar -s "$work/sidecar-$i.toml"
done

cat >"$work/entry.toml" <<TOML
instance_id = "entry-1"
data_centre = "riga-a"
listen = "127.0.0.1:18080"
peer_listen = "127.0.0.1:18082"
debug = "127.0.0.1:18081"
platform = "http://127.0.0.1:17000"
lease_ttl = "10s"
config_poll = "500ms"
call_timeout = "30s"
drain_timeout = "30s"
TOML
start entry entry -s "$work/entry.toml"
for i in 1 2 3 4 5 6; do wait_up "127.0.0.1:1720$i"; wait_up "127.0.0.1:1930$i"; done
wait_up 127.0.0.1:18081

cat >"$work/ctl.toml" <<TOML
platform = "http://127.0.0.1:17000"
TOML
"$bin" ctl apply -s "$work/ctl.toml" "$root/deploy/local/config.toml" --confirm
# Entries poll the configuration every 500ms; wait until it is in force.
for _ in $(seq 1 40); do
  if curl -sf http://127.0.0.1:18081/debug/state | grep -q '"config_version": [1-9]'; then break; fi
  sleep 0.1
done

echo "processes running: ${#pids[@]} (logs in $work)"
"$bin" play --entry http://127.0.0.1:18080 "$root/testdata/workloads/sul.toml" "$root/testdata/workloads/jurassakari.toml"
