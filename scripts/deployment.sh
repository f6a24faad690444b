# shellcheck shell=bash
# Akuaba's deployment of the brief on loopback: three availability zones with
# eight daemons, and stand-ins of all that is outside. To be sourced, with the
# variables ports (the first two digits of every port) and out (a new folder).
tool=bin/flamingobeam
store=127.0.0.1:${ports:?}001
fleet=${out:?}/fleet.yaml
zones=(ashanti-a northern-a volta-a)
hosts=(ashanti-1 ashanti-2 ashanti-3 northern-1 northern-2 northern-3 volta-1 volta-2)
portals=(1 2 3 4 5)
engines=(1 2 3 4 5 6 7 8 9 10)
judges=(1 2)
started=()
outside=0
declare -A pids=()

# start NAME COMMAND... runs a command in the background with a log of its own.
start() {
  local name=$1
  shift
  "$@" >>"$out/$name.log" 2>&1 &
  started+=("$!")
  pids[$name]=$!
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

# server NAME ZONE KIND SERVICE ADDRESS FENCED lists a host.
server() {
  echo "  - {name: $1, place: {zone: $2, region: ${2%-a}}, kind: $3, service: $4, address: \"$5\", fenced: $6}" >>"$fleet"
}

# daemon NUMBER NAME writes a daemon's settings and lists its host.
daemon() {
  local zone=${2%-*}-a
  cat >"$out/$2.yaml" <<YAML
host: $2
place: {zone: $zone, region: ${zone%-a}}
listen: {callers: "127.0.0.1:${ports}10$1", peers: "127.0.0.1:${ports}20$1"}
store: "$store"
YAML
  server "$2" "$zone" daemon flamingobeam "127.0.0.1:${ports}20$1" true
}

# callers NAME prints the address at which a daemon takes requests.
callers() { sed -n 's/.*callers: "\([^"]*\)".*/\1/p' "$out/$1.yaml"; }

# fenced ENGINE: every other engine refuses orders of an old term, and the
# others ignore it.
fenced() { [ $(($1 % 2)) = 0 ]; }

list_hosts() {
  local i
  echo "servers:" >"$fleet"
  for i in "${!hosts[@]}"; do daemon $((i + 1)) "${hosts[$i]}"; done
  for i in "${portals[@]}"; do
    server "portal-$i" "${zones[$((i % 3))]}" service claims-portal "127.0.0.1:${ports}30$i" false
  done
  for i in "${engines[@]}"; do
    server "engine-$i" "${zones[$((i % 3))]}" engine assessor "127.0.0.1:${ports}4$(printf %02d "$i")" \
      "$(fenced "$i" && echo true || echo false)"
  done
  server judge-1 ashanti-a judge claims-judge "127.0.0.1:${ports}501" false
  server judge-2 volta-a judge claims-judge "127.0.0.1:${ports}502" false
}

start_outside() {
  local i
  start store "$tool" emulate store --listen "$store" --fleet "$fleet" --lag 500ms
  for i in "${portals[@]}"; do
    start "portal-$i" "$tool" emulate service --listen "127.0.0.1:${ports}30$i" --name "portal-$i"
  done
  for i in "${engines[@]}"; do
    start "engine-$i" "$tool" emulate engine --listen "127.0.0.1:${ports}4$(printf %02d "$i")" --name "engine-$i" \
      --model assessor $(fenced "$i" && echo --fenced)
  done
  for i in "${judges[@]}"; do
    start "judge-$i" "$tool" emulate service --listen "127.0.0.1:${ports}50$i" --name "judge-$i"
  done
  outside=${#started[@]}
}

# start_daemon NAME starts a daemon, for the first time or again.
start_daemon() { start "$1" bin/flamingobeamd --settings "$out/$1.yaml"; }

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

# granted NAME reports whether a daemon serves by the settings.
granted() { "$tool" status --daemon "$(callers "$1")" | grep -q 'granted *true'; }

start_trainer() {
  local name daemons=()
  for name in "${hosts[@]}"; do daemons+=(--daemons "$(callers "$name")"); done
  start trainer-1 "$tool" emulate trainer --listen "127.0.0.1:${ports}601" --workspace subsidy-assessor --model assessor \
    --store "$store" --train 1s --staleness-versions 2 --staleness-age 20m "${daemons[@]}"
}

# deploy starts everything and returns once every daemon serves.
deploy() {
  local name
  list_hosts
  start_outside
  for name in "${hosts[@]}"; do start_daemon "$name"; done
  retry "$tool" create --daemon "$(callers "${hosts[0]}")" examples/akuaba/document.yaml
  for name in "${hosts[@]}"; do retry granted "$name"; done
  start_trainer
}
