#!/usr/bin/env bash
# Plays seeds of the fault soak one after the other (docs/design/soak.md), with a line for
# each and a table at the end. Fails if a promise was broken. Logs and the report of a seed
# that fails are kept in out/soak/seed-N.
set -eu
cd "$(dirname "$0")/.."
root=$PWD
seeds=1-50
arguments=()

usage() {
  echo "usage: scripts/soak.sh [--seeds FROM-TO] [--seconds N] [--daemon PATH] [--earlier PATH]" >&2
  exit 2
}

while [ $# -gt 0 ]; do
  [ $# -ge 2 ] || usage
  case $1 in
    --seeds) seeds=$2 ;;
    --seconds) arguments+=("-soak.seconds=$2") ;;
    --daemon | --earlier) arguments+=("-soak.${1#--}=$(realpath "$2")") ;;
    *) usage ;;
  esac
  shift 2
done
[[ $seeds == *-* ]] || seeds=$seeds-$seeds

mkdir -p out/soak
: >out/soak/output
go test -c -o out/soak/soak.test ./histories/managed
cd histories/managed
status=0
"$root/out/soak/soak.test" -test.run '^TestSoak_Seeds$' -test.timeout 0 -soak.seeds="$seeds" -soak.out="$root/out/soak" \
  ${arguments[@]+"${arguments[@]}"} >"$root/out/soak/output" 2>&1 &
player=$!
# Shows the lines of the seeds as they come, until the player has ended.
tail -n +1 -f --pid="$player" "$root/out/soak/output" | grep --line-buffered -E '^(seed |[0-9]+ seeds| +[0-9]+  map|panic|FAIL)' || true
wait "$player" || status=$?
exit "$status"
