#!/usr/bin/env bash
# Starts Akuaba's deployment of the brief on loopback: three availability
# zones with eight daemons, and stand-ins of all that is outside. Then makes
# traffic, kills a daemon and an engine on the way, stops everything that it
# started, prints a table and writes out/demo/report.json. Exits non-zero when
# a promise was broken.
set -u
cd "$(dirname "$0")/.."
out=out/demo
rm -rf "$out"
mkdir -p "$out"
tool=bin/flamingobeam
started=()
outside=0

# start NAME COMMAND... runs a command in the background with a log of its own.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  started+=("$!")
  eval "pid_${name//-/_}=$!"
}

# stop PIDS... asks processes to stop and waits for them.
stop() {
  kill -TERM "$@" 2>/dev/null
  wait "$@" 2>/dev/null
}

# The daemons stop first, while they can still hand over what they hold.
stop_all() {
  stop "${started[@]:$outside}"
  stop "${started[@]}"
}
trap stop_all EXIT

store=127.0.0.1:17001
fleet=$out/fleet.yaml
echo "servers:" >"$fleet"

# server NAME ZONE KIND SERVICE ADDRESS FENCED lists a host.
server() {
  echo "  - {name: $1, place: {zone: $2, region: ${2%-a}}, kind: $3, service: $4, address: \"$5\", fenced: $6}" >>"$fleet"
}

# daemon NUMBER NAME ZONE writes a daemon's settings and lists its host.
daemon() {
  cat >"$out/$2.yaml" <<YAML
host: $2
place: {zone: $3, region: ${3%-a}}
listen: {callers: "127.0.0.1:1710$1", peers: "127.0.0.1:1720$1"}
store: "$store"
YAML
  server "$2" "$3" daemon flamingobeam "127.0.0.1:1720$1" true
}

daemon 1 ashanti-1 ashanti-a
daemon 2 ashanti-2 ashanti-a
daemon 3 ashanti-3 ashanti-a
daemon 4 northern-1 northern-a
daemon 5 northern-2 northern-a
daemon 6 northern-3 northern-a
daemon 7 volta-1 volta-a
daemon 8 volta-2 volta-a
zones=(ashanti-a northern-a volta-a)
engines=(1 2 3 4 5 6 7 8 9 10)
for i in 1 2 3 4 5; do
  server "portal-$i" "${zones[$((i % 3))]}" service claims-portal "127.0.0.1:1730$i" false
done
for i in "${engines[@]}"; do
  # Every other engine refuses orders of an old term; the others ignore it.
  server "engine-$i" "${zones[$((i % 3))]}" engine assessor "127.0.0.1:$((17400 + i))" "$([ $((i % 2)) = 0 ] && echo true || echo false)"
done
server judge-1 ashanti-a judge claims-judge 127.0.0.1:17501 false
server judge-2 volta-a judge claims-judge 127.0.0.1:17502 false

start store "$tool" emulate store --listen "$store" --fleet "$fleet" --lag 500ms
for i in 1 2 3 4 5; do
  start "portal-$i" "$tool" emulate service --listen "127.0.0.1:1730$i" --name "portal-$i"
done
for i in "${engines[@]}"; do
  start "engine-$i" "$tool" emulate engine --listen "127.0.0.1:$((17400 + i))" --name "engine-$i" \
    --model assessor $([ $((i % 2)) = 0 ] && echo --fenced)
done
for i in 1 2; do
  start "judge-$i" "$tool" emulate service --listen "127.0.0.1:1750$i" --name "judge-$i"
done
outside=${#started[@]}
for name in ashanti-1 ashanti-2 ashanti-3 northern-1 northern-2 northern-3 volta-1 volta-2; do
  start "$name" bin/flamingobeamd --settings "$out/$name.yaml"
done

# retry COMMAND... runs a command until it succeeds, for ten seconds.
retry() {
  local attempt
  for attempt in $(seq 1 50); do
    "$@" >>"$out/setup.log" 2>&1 && return 0
    sleep 0.2
  done
  echo "failed: $*" >&2
  tail -n 3 "$out/setup.log" >&2
  exit 1
}

retry "$tool" create --daemon 127.0.0.1:17101 examples/akuaba/document.yaml
for i in 1 2 3 4 5 6 7 8; do
  retry bash -c "$tool status --daemon 127.0.0.1:1710$i | grep -q 'granted *true'"
done

daemons=()
for i in 1 2 3 4 5 6 7 8; do daemons+=(--daemons "127.0.0.1:1710$i"); done
start trainer-1 "$tool" emulate trainer --listen 127.0.0.1:17601 --workspace subsidy-assessor --model assessor \
  --store "$store" --train 1s --staleness-versions 2 --staleness-age 20m "${daemons[@]}"

(
  sleep 5
  kill -KILL "$pid_ashanti_1"
  sleep 2
  kill -KILL "$pid_engine_3"
) &
killer=$!
"$tool" load --out "$out/report.json" experiments/demo.yaml
status=$?
wait "$killer"
exit "$status"
