# shellcheck shell=bash
# Functions for Akuaba's deployment on the loopback interface: three availability
# zones with eight daemons, and emulators of all external systems. The script is
# sourced, with the variables ports (the first two digits of every port) and out
# (a new directory).
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

# start NAME COMMAND... runs a command in the background and appends its output
# to $out/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$out/$name.log" 2>&1 &
  started+=("$!")
  pids[$name]=$!
}

# stop PIDS... sends SIGTERM to processes and waits until they exit.
stop() {
  kill -TERM "$@" 2>/dev/null
  wait "$@" 2>/dev/null
}

# stop_all stops the daemons before the external systems, which they need for
# handing over their work.
stop_all() {
  stop "${started[@]:$outside}"
  stop "${started[@]}"
}

# list_host NAME ZONE KIND SERVICE ADDRESS FENCED adds a host to the host list.
list_host() {
  echo "  - {name: $1, place: {zone: $2, region: ${2%-a}}, kind: $3, service: $4, address: \"$5\", fenced: $6}" >>"$fleet"
}

# add_daemon NUMBER NAME writes a daemon's settings file and adds its host to the
# host list.
add_daemon() {
  local zone=${2%-*}-a
  cat >"$out/$2.yaml" <<YAML
host: $2
place: {zone: $zone, region: ${zone%-a}}
listen: {callers: "127.0.0.1:${ports}10$1", peers: "127.0.0.1:${ports}20$1"}
store: "$store"
YAML
  list_host "$2" "$zone" daemon flamingobeam "127.0.0.1:${ports}20$1" true
}

# caller_address NAME prints the address on which a daemon serves callers.
caller_address() { sed -n 's/.*callers: "\([^"]*\)".*/\1/p' "$out/$1.yaml"; }

# is_fenced NUMBER succeeds for every second engine. These engines refuse orders
# with an old term; the others ignore the term.
is_fenced() { [ $(($1 % 2)) = 0 ]; }

# list_hosts writes the host list and the settings of all daemons.
list_hosts() {
  local i
  echo "servers:" >"$fleet"
  for i in "${!hosts[@]}"; do add_daemon $((i + 1)) "${hosts[$i]}"; done
  for i in "${portals[@]}"; do
    list_host "portal-$i" "${zones[$((i % 3))]}" service claims-portal "127.0.0.1:${ports}30$i" false
  done
  for i in "${engines[@]}"; do
    list_host "engine-$i" "${zones[$((i % 3))]}" engine assessor "127.0.0.1:${ports}4$(printf %02d "$i")" \
      "$(is_fenced "$i" && echo true || echo false)"
  done
  list_host judge-1 ashanti-a judge claims-judge "127.0.0.1:${ports}501" false
  list_host judge-2 volta-a judge claims-judge "127.0.0.1:${ports}502" false
}

# start_external starts the emulators of all external systems except trainers.
start_external() {
  local i
  start store "$tool" emulate store --listen "$store" --fleet "$fleet" --lag 500ms
  for i in "${portals[@]}"; do
    start "portal-$i" "$tool" emulate service --listen "127.0.0.1:${ports}30$i" --name "portal-$i"
  done
  for i in "${engines[@]}"; do
    start "engine-$i" "$tool" emulate engine --listen "127.0.0.1:${ports}4$(printf %02d "$i")" --name "engine-$i" \
      --model assessor $(is_fenced "$i" && echo --fenced)
  done
  for i in "${judges[@]}"; do
    start "judge-$i" "$tool" emulate service --listen "127.0.0.1:${ports}50$i" --name "judge-$i"
  done
  outside=${#started[@]}
}

# start_daemon NAME starts or restarts a daemon.
start_daemon() { start "$1" bin/flamingobeamd --settings "$out/$1.yaml"; }

# retry COMMAND... runs a command until it succeeds, at most 50 times at intervals
# of 0.2 s, and exits the shell if it never does.
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

# has_grant NAME succeeds if a daemon holds a grant of its settings.
has_grant() { "$tool" status --daemon "$(caller_address "$1")" | grep -q 'granted *true'; }

# start_trainer starts a trainer that pulls steps from all daemons.
start_trainer() {
  local name daemons=()
  for name in "${hosts[@]}"; do daemons+=(--daemons "$(caller_address "$name")"); done
  start trainer-1 "$tool" emulate trainer --listen "127.0.0.1:${ports}601" --workspace subsidy-assessor --model assessor \
    --store "$store" --train 1s --staleness-versions 2 --staleness-age 20m "${daemons[@]}"
}

# deploy starts the deployment and returns once every daemon holds a grant.
deploy() {
  local name
  list_hosts
  start_external
  for name in "${hosts[@]}"; do start_daemon "$name"; done
  retry "$tool" create --daemon "$(caller_address "${hosts[0]}")" examples/akuaba/document.yaml
  for name in "${hosts[@]}"; do retry has_grant "$name"; done
  start_trainer
}
