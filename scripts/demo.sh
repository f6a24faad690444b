#!/usr/bin/env bash
# Starts Akuaba's deployment on the loopback interface: three availability zones
# with eight daemons, and emulators of all external systems. Generates load, kills
# a daemon and an engine meanwhile, prints a table, writes out/demo/report.json and
# stops all processes. Exits with a non-zero status if a guarantee was breached.
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
