#!/usr/bin/env bash
# Starts Akuaba's deployment of the brief on loopback: three availability
# zones with eight daemons, and stand-ins of all that is outside. Then makes
# traffic, kills a daemon and an engine on the way, stops everything that it
# started, prints a table and writes out/demo/report.json. Exits non-zero when
# a promise was broken.
set -u
cd "$(dirname "$0")/.."
out=out/demo
ports=17
rm -rf "$out"
mkdir -p "$out"
# shellcheck source=scripts/deployment.sh
source scripts/deployment.sh
trap stop_all EXIT

deploy
(
  sleep 5
  kill -KILL "${pids[ashanti-1]}"
  sleep 2
  kill -KILL "${pids[engine-3]}"
) &
killer=$!
"$tool" load --out "$out/report.json" experiments/demo.yaml
status=$?
wait "$killer"
exit "$status"
