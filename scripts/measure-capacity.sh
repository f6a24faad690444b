#!/usr/bin/env bash
# Measures the cost of the control plane. Starts DAEMONS daemons in one
# availability zone with SERVERS backend servers in the host list, and measures
# the processor time, memory and I/O of the collector and of the other daemons
# over SECONDS seconds, with CHANGES settings changes per second. Prints one line.
# Usage: scripts/measure-capacity.sh DAEMONS SERVERS SECONDS CHANGES
set -u
cd "$(dirname "$0")/.."
daemons=$1
servers=$2
seconds=$3
changes=$4
out=out/capacity
rm -rf "$out"
mkdir -p "$out"
tool=bin/flamingobeam
store=127.0.0.1:19000
started=()

stop_all() {
  local pid
  for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null; done
}
trap stop_all EXIT

{
  echo "servers:"
  for i in $(seq 1 "$daemons"); do
    echo "  - {name: host-$i, place: {zone: zone-a, region: region}, kind: daemon, service: flamingobeam, address: \"127.0.0.1:$((20000 + i))\"}"
  done
  for i in $(seq 1 "$servers"); do
    echo "  - {name: server-$i, place: {zone: zone-a, region: region}, kind: service, service: portal, address: \"127.0.0.1:1\"}"
  done
} >"$out/fleet.yaml"
cat >"$out/document.yaml" <<YAML
zones: [{zone: zone-a, region: region}]
templates: [{name: plain, parameters: {service: portal}}]
workspaces: [{name: one, template: plain}]
YAML
"$tool" emulate store --listen "$store" --fleet "$out/fleet.yaml" --lag 100ms >"$out/store.log" 2>&1 &
started+=("$!")
sleep 0.5
for i in $(seq 1 "$daemons"); do
  cat >"$out/$i.yaml" <<YAML
host: host-$i
place: {zone: zone-a, region: region}
listen: {callers: "127.0.0.1:$((21000 + i))", peers: "127.0.0.1:$((20000 + i))"}
store: "$store"
log: {level: warning}
YAML
  bin/flamingobeamd --settings "$out/$i.yaml" >"$out/$i.log" 2>&1 &
  started+=("$!")
done
for attempt in $(seq 1 50); do
  "$tool" create --daemon 127.0.0.1:21001 "$out/document.yaml" >"$out/create.log" 2>&1 && break
  sleep 0.2
done
for i in $(seq 1 "$daemons"); do
  for attempt in $(seq 1 100); do
    "$tool" status --daemon "127.0.0.1:$((21000 + i))" 2>/dev/null | grep -q 'granted *true' && break
    sleep 0.2
  done
done
sleep 3

# read_usage prints "PID CPU-TICKS MEMORY-KB IO-BYTES" for each daemon.
read_usage() {
  local pid
  for pid in "${started[@]:1}"; do
    echo "$pid $(awk '{print $14 + $15}' "/proc/$pid/stat") $(awk '/VmRSS/ {print $2}' "/proc/$pid/status")" \
      "$(awk '/rchar|wchar/ {sum += $2} END {print sum}' "/proc/$pid/io")"
  done
}
# store_counts prints the store's numbers of writes and reads.
store_counts() { curl -s -X POST -d '{}' "http://$store/emulate/counts" | tr -dc '0-9,' | tr ',' ' '; }

collector=$("$tool" status --daemon 127.0.0.1:21001 --output json | sed -n 's/.*"collector": "host-\([0-9]*\)".*/\1/p')
read_usage >"$out/before"
before=($(store_counts))
if [ "$changes" != 0 ]; then
  cat >"$out/load.yaml" <<YAML
question: What does control cost?
duration: ${seconds}s
max_in_flight: 100
daemons: ["127.0.0.1:21001"]
streams: [{kind: settings, workspace: one, rate: $changes}]
YAML
  "$tool" load "$out/load.yaml" >"$out/load.log" 2>&1
else
  sleep "$seconds"
fi
read_usage >"$out/after"
after=($(store_counts))
paste -d' ' "$out/before" "$out/after" | awk -v n="$daemons" -v s="$servers" -v t="$seconds" -v c="$changes" \
  -v collector="$collector" -v writes="$((after[0] - before[0]))" -v reads="$((after[1] - before[1]))" '
  { cpu = ($6 - $2) / t; kb = $7; bytes = ($8 - $4) / t / 1000
    if (NR == collector) { ccpu = cpu; ckb = kb; cbytes = bytes } else { fcpu += cpu; fkb += kb; fbytes += bytes; m++ } }
  END { if (m == 0) m = 1
    printf "daemons %d servers %d changes/s %s | collector: core %.2f%% memory %.1f MB traffic %.1f KB/s | follower: core %.2f%% memory %.1f MB traffic %.1f KB/s | store: %.2f writes/s %.2f reads/s\n",
      n, s, c, ccpu, ckb / 1024, cbytes, fcpu / m, fkb / m / 1024, fbytes / m, writes / t, reads / t }'
