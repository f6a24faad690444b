#!/bin/sh
# Plays the case with the stand-ins that review/build.sh builds. See claim.txt.
# TROUBLE=0 plays the same without the disruption.
TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")" || exit 2
exec ../target/standin unread "$(cd ../.. && pwd)" "$(pwd)" "$TROUBLE"
