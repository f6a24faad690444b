#!/usr/bin/env bash
# Runs all checks and tests. The last line of output is "N passed, N failed".
# Tests listed in KNOWN-RED.txt are skipped and not counted; the list is printed.
set -u
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
staticcheck_version=v0.8.2
out=out/test
mkdir -p "$out"
passed=0
failed=0

# check NAME COMMAND... runs a check, with its output in $out/NAME.log, and counts
# whether it passed.
check() {
  local name=$1
  shift
  if "$@" >"$out/$name.log" 2>&1; then
    passed=$((passed + 1))
    echo "ok      $name"
  else
    failed=$((failed + 1))
    echo "FAILED  $name"
    tail -n 60 "$out/$name.log"
  fi
}

# check_format fails if gofmt would change a file.
check_format() {
  local bad
  bad=$(git ls-files '*.go' | xargs -r gofmt -l)
  [ -z "$bad" ] || { echo "$bad"; return 1; }
}

# lint runs staticcheck and installs it first if necessary.
lint() {
  local bin=$PWD/bin/staticcheck-$staticcheck_version
  if [ ! -x "$bin" ]; then
    mkdir -p bin
    GOBIN=$PWD/bin GOWORK=off go install "honnef.co/go/tools/cmd/staticcheck@$staticcheck_version" || return 1
    mv bin/staticcheck "$bin"
  fi
  go list -f '{{.ImportPath}}' work | xargs "$bin"
}

check format check_format
check vet go vet work
check staticcheck lint
check imports bash scripts/check-imports.sh
check fuzz bash scripts/check-fuzz.sh
if [ -f scripts/check-models.sh ]; then
  # shellcheck source=/dev/null
  source scripts/check-models.sh
fi

known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
# Tests of crowds measure the memory of a process, so they run alone, after all others.
crowds='^TestCrowd_'
# The soak starts many processes and holds them to times, so it runs alone as well.
soak='^TestSoak_'

# show_failures FILE prints the ends of the outputs of the builds, tests and packages that
# failed in a run of go test -json, and then the names of the tests.
show_failures() {
  local failures package test key
  failures=$(sed -n 's/.*"Action":"fail","Package":"\([^"]*\)"\(,"Test":"\([^"]*\)"\)\{0,1\}.*/\1 \3/p' "$1")
  sed -n 's/.*"Action":"build-output","Output":"\(.*\)"}$/\1/p' "$1" | sed 's/\\n$//; s/\\t/\t/g; s/\\"/"/g' | tail -n 80
  [ -n "$failures" ] || return 0
  while read -r package test; do
    key="\"Action\":\"output\",\"Package\":\"$package\"${test:+,\"Test\":\"$test\"},\"Output\""
    echo "--- output of $package $test"
    grep -F "$key" "$1" | sed -n 's/.*"Output":"\(.*\)"}$/\1/p' | sed 's/\\n$//; s/\\t/\t/g; s/\\"/"/g' | tail -n 80
  done <<<"$failures"
  sed 's/^/FAILED  /' <<<"$failures"
}

# go_test NAME SKIPPED ARGUMENTS... runs tests, except those whose names match SKIPPED, and
# counts those that passed and failed.
go_test() {
  local name=$1 skipped=$2 status tests_failed
  shift 2
  go test -json ${skipped:+-skip "$skipped"} "$@" >"$out/$name.json" 2>"$out/$name.err"
  status=$?
  tests_failed=$(grep -c '"Action":"fail".*"Test":' "$out/$name.json")
  passed=$((passed + $(grep -c '"Action":"pass".*"Test":' "$out/$name.json")))
  failed=$((failed + tests_failed))
  if [ "$status" -ne 0 ]; then
    [ "$tests_failed" -gt 0 ] || failed=$((failed + 1))
    show_failures "$out/$name.json"
    cat "$out/$name.err"
  fi
}

go_test go-test "$crowds|$soak${known:+|^($known)\$}" work
go_test crowds "${known:+^($known)\$}" -count=1 -p 1 -run "$crowds" ./histories/managed
go_test soak "${known:+^($known)\$}" -count=1 -p 1 -run "$soak" ./histories/managed
if [ -s KNOWN-RED.txt ]; then
  echo "Known to fail:"
  cat KNOWN-RED.txt
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
