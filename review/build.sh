#!/bin/sh
# Builds the stand-ins of the cases, which are test files, into review/target. It needs the
# standard library alone.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../target
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go test -c -o ../target/standin .
