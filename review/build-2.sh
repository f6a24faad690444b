#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin2
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin2 .
