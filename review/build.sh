#!/bin/sh
# Builds the stand-ins of the cases into review/target. It needs the standard library alone.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../target/standin .
