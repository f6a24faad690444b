#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which are test files, into target/. It needs the
# standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin2
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go test -c -o ../../target/review-standin2 .
