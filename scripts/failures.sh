#!/usr/bin/env bash
# Injects one or two failures at a time into Akuaba's deployment under load.
# Each scenario runs on a new deployment. It fails if the load tool reports a
# breach of a guarantee, or a stream without answers after the failure. The report
# and logs are in out/failures/SCENARIO. Prints a table of all scenarios.
# Usage: [SEED=1] scripts/failures.sh [SCENARIO...]
set -u
cd "$(dirname "$0")/.."
seed=${SEED:-1}
seconds=20
fault_at=5
folder=out/failures
all=(collector-killed collector-frozen bucket-owner-frozen daemons-killed store-down
  store-answers-lost store-slow engine-killed-and-leaving service-frozen rolling-restart
  collector-killed-store-down owner-frozen-answers-lost)
[ $# -gt 0 ] || set -- "${all[@]}"

# freeze NAME SECONDS stops a process with SIGSTOP and resumes it.
freeze() {
  kill -STOP "${pids[$1]}"
  sleep "$2"
  kill -CONT "${pids[$1]}"
}

# set_faults ADDRESS FAULTS replaces the faults of an emulator.
set_faults() { curl -s -m 5 -X POST -d "$2" "http://$1/emulate/faults" >>"$out/setup.log"; }

# zone_collector HOST prints the collector of a host's zone.
zone_collector() { "$tool" status --daemon "$(caller_address "$1")" --output json | sed -n 's/.*"collector": "\([^"]*\)".*/\1/p'; }

# bucket_owner prints the daemon that owns the most buckets of the journal, as
# counted in the logs.
bucket_owner() {
  local name
  for name in "${hosts[@]}"; do echo "$(grep -c 'Owning bucket' "$out/$name.log") $name"; done | sort -rn | sed -n '1s/.* //p'
}

# record_target HOST prints the process that a scenario selects and writes it to
# $out/chosen.
record_target() { echo "$1" | tee "$out/chosen"; }

collector_killed() { kill -KILL "${pids[$(record_target "$(zone_collector ashanti-1)")]}"; }
collector_frozen() { freeze "$(record_target "$(zone_collector ashanti-1)")" 8; }
bucket_owner_frozen() { freeze "$(record_target "$(bucket_owner)")" 8; }
daemons_killed() { kill -KILL "${pids[ashanti-2]}" "${pids[northern-2]}"; }
store_down() {
  set_faults "$store" '{"down": true}'
  sleep 6
  set_faults "$store" '{}'
}
store_answers_lost() { set_faults "$store" '{"lose_answers": 0.05}'; }
store_slow() { set_faults "$store" '{"delay": 200000000}'; }
engine_killed_and_leaving() {
  kill -KILL "${pids[engine-3]}"
  set_faults "127.0.0.1:${ports}405" '{"leaving": true}'
}
collector_killed_store_down() {
  collector_killed
  store_down
}
owner_frozen_answers_lost() {
  store_answers_lost
  bucket_owner_frozen
}
service_frozen() { freeze portal-1 3; }

# rolling_restart restarts the daemons of a zone one after the other with SIGTERM.
# Each holds a grant again before the next one stops.
rolling_restart() {
  local name
  for name in ashanti-1 ashanti-2 ashanti-3; do
    kill -TERM "${pids[$name]}"
    tail --pid="${pids[$name]}" -f /dev/null
    start_daemon "$name"
    retry has_grant "$name"
    echo "$name restarted" >>"$out/setup.log"
  done
}

# all_lookups_answered REPORT fails if a lookup was not answered.
all_lookups_answered() {
  awk -F'[:,]' '/"lookup\// { within = 1 } within && /"sent"/ { sent = $2 }
    within && /"answered"/ { within = 0; if ($2 != sent) { print "lookups without a response: " sent - $2; bad = 1 } } END { exit bad }' "$1"
}

# figure REPORT NAME prints the first value of a name, which is in the totals.
figure() { sed -n "s/^ *\"$2\": \([0-9.e+-]*\),*\$/\1/p" "$1" | sed -n 1p; }

# row SCENARIO VERDICT prints a row of the table.
row() {
  local report=$folder/$1/report.json name
  if [ ! -f "$report" ]; then
    echo "| $1 | no report | | | | | | | | | $2 |"
    return
  fi
  printf '| %s ' "$1"
  for name in sent answered refused_not_run unknown_outcome failed; do printf '| %s ' "$(figure "$report" $name)"; done
  printf '| %s ' "$(for name in doubled_runs lost_answers wrong_answers samples_doubled samples_stale samples_misattributed settings_partial; do
    figure "$report" $name
  done | awk '{ sum += $1 } END { print sum }')"
  printf '| %.1f s | %.0f ms | %.2f | %s |\n' "$(figure "$report" settings_seconds_max)" "$(figure "$report" lookup_p99_ms)" \
    "$(figure "$report" trainer_idle_fraction)" "$2"
}

# run SCENARIO runs a scenario on a new deployment. It must run in a subshell,
# because it sets an exit trap.
run() {
  ports=16
  out=$folder/$1
  rm -rf "$out"
  mkdir -p "$out"
  # shellcheck source=scripts/deployment.sh
  source scripts/deployment.sh
  trap 'kill -CONT "${started[@]}" 2>/dev/null; stop_all' EXIT
  [ "$1" != rolling-restart ] || seconds=25
  printf 'seed: %s\nduration: %ss\nfault_at: %ss\n' "$seed" "$seconds" "$fault_at" | cat - experiments/failures.yaml >"$out/experiment.yaml"
  deploy
  timeout 90 "$tool" load --out "$out/report.json" "$out/experiment.yaml" >"$out/load.log" 2>&1 &
  local load=$!
  sleep "$fault_at"
  "${1//-/_}" || return 1
  wait "$load" || return 1
  [ "$1" != rolling-restart ] || all_lookups_answered "$out/report.json"
}

failed=0
table=()
for scenario in "$@"; do
  verdict=passed
  if ! (run "$scenario"); then
    verdict=FAILED
    failed=1
    grep -E '^breach|breaches|after the failure' "$folder/$scenario/load.log"
  fi
  echo "$verdict $scenario"
  table+=("$(row "$scenario" "$verdict")")
done
echo "| scenario | sent | answered | refused | unknown | failed | breaches | longest change | look-up p99 | trainer idle | verdict |"
echo "|---|---|---|---|---|---|---|---|---|---|---|"
printf '%s\n' "${table[@]}"
exit "$failed"
