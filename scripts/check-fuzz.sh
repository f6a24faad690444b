#!/usr/bin/env bash
# Runs every fuzz target for a fixed number of inputs, so that the result does not
# depend on the speed of the machine. Usage: check-fuzz.sh [INPUTS]
set -u
inputs=${1:-2000}
failed=0
targets=0
for package in $(go list -f '{{if or .TestGoFiles .XTestGoFiles}}{{.Dir}}{{end}}' work | while read -r folder; do
  grep -lqE '^func Fuzz' "$folder"/*_test.go && echo "$folder"
done); do
  names=$(go test -list '^Fuzz' "$package" | grep '^Fuzz') || { echo "FAILED  $package cannot be listed"; failed=1; continue; }
  for name in $names; do
    targets=$((targets + 1))
    go test -run '^$' -fuzz "^$name\$" -fuzztime "${inputs}x" -parallel 4 "$package" || failed=1
  done
done
echo "$targets targets"
[ "$targets" -gt 0 ] && [ "$failed" -eq 0 ]
