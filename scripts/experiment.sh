#!/usr/bin/env bash
# Runs one experiment file once per policy, each time against a fresh fleet
# of real processes on loopback, and writes a report with plots.
#
#   scripts/experiment.sh FILE OUTDIR [LABEL:ROUTING:ORDER ...]
#
# Without policies: the project's own, then the baselines.
set -euo pipefail
cd "$(dirname "$0")/.."
file=$1; out=$2; shift 2
runs=("$@")
if [ ${#runs[@]} -eq 0 ]; then
  runs=(ours:affinity:oldest_program least-loaded:least_loaded:arrival round-robin:round_robin:arrival rendezvous:rendezvous:arrival)
fi
work=$(mktemp -d -t wagtaildrum-experiment.XXXXXX)
bin="$work/wagtaildrum"
go build -o "$bin" ./cmd/wagtaildrum
mkdir -p "$out"

pids=()
stop_fleet() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap stop_fleet EXIT

results=()
for run in "${runs[@]}"; do
  IFS=: read -r label routing order <<<"$run"
  dir="$work/$label"
  "$bin" load fleet -f "$file" --dir "$dir" --routing "$routing" --order "$order"
  while read -r name debug command; do
    # shellcheck disable=SC2086
    "$bin" $command >"$dir/$name.log" 2>&1 &
    pids+=($!)
  done <"$dir/processes"
  while read -r name debug _; do
    for _ in $(seq 1 200); do curl -sf "http://$debug/debug/state" >/dev/null 2>&1 && break; sleep 0.05; done
  done <"$dir/processes"
  "$bin" ctl apply -s "$dir/ctl.toml" "$dir/config.toml" --confirm >"$dir/ctl.log"
  sleep 1 # config polls
  "$bin" load run -f "$file" --targets "$dir/targets.json" --label "$label" --out "$dir/result.json"
  results+=("$dir/result.json")
  stop_fleet
done
"$bin" load report -f "$file" --dir "$out" "${results[@]}"
echo "report: $out (results and logs in $work)"
