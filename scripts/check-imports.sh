#!/usr/bin/env bash
# Checks the architecture of the code base: coord makes decisions without I/O,
# encodings or goroutines, the kernel does not import other packages of the
# project, and services look each other up by name instead of importing each
# other.
set -u
root=github.com/flamingobeam/flamingobeam
bad=0

# report RULE LINES prints the lines that violate a rule, if there are any.
report() {
  if [ -n "$2" ]; then
    echo "$1:"
    echo "$2"
    bad=1
  fi
}

imports() { go list -f '{{$p := .ImportPath}}{{range .Imports}}{{$p}} {{.}}{{"\n"}}{{end}}' "$@" | grep .; }

report "coord must not do I/O, encode messages or start goroutines" \
  "$(imports ./coord/... | grep -E ' (net|net/.*|os|os/.*|io|io/.*|sync|sync/.*|syscall|encoding/.*|database/.*|.*yaml.*|.*logrus.*|.*sourcegraph/conc.*)$')"
report "coord must not start goroutines" \
  "$(grep -rnE '^\s*go (func|[a-z])' coord --include='*.go' | grep -v _test.go)"
report "coord may not import other packages of the project" \
  "$(imports ./coord/... | grep -E " $root/" | grep -v " $root/coord")"
report "kernel may not import other packages of the project" \
  "$(imports ./kernel/... | grep -E " $root/" | grep -v " $root/kernel")"
report "outside may import only coord" \
  "$(imports ./outside/... | grep -E " $root/" | grep -vE " $root/(coord|outside)")"
report "platform may import only coord and outside" \
  "$(imports ./platform/... | grep -E " $root/" | grep -vE " $root/(coord|outside|platform)")"
report "platform may not import the packages that make decisions" \
  "$(imports ./platform/... | grep -E " $root/coord/(placement|limit|retry|route|quarantine|weights|step|group|change)")"
# Words of the managed platform's messages, which only its adapter and tests may
# use.
words='Attempt-Id|Server-Stamp|Server-Leaving|Server-Limit|Not-Executed|Expect-Instance|Instance-Id|Weight-Versions|Prompt-Prefix|Token-Count|Deadline-Ms|Length-Hint|Request-Priority|Last-Event-Id|Wait-Ms|/api/|kv-txn|kv-watch|kv-key|kv-range|scoringEndpoint|desiredCount|trainStep|minVersion|targetLatencyMs|resultDeadlineMs|itemTtlS|routeType|pathPrefix|fencingToken|kvCapacityTokens|platformConfig|listenAddrs|FLAMINGOBEAM_NODE_FILE|X-Api-Key|"Tenant"|usage-reports|Duty-Holder|Fencing-Token|cloudApi|apiKeys|authExempt|spotPrice|bootTimeS|usageWindowS|strictRevoke|"Resumes"|"op/|"servers/|"draining"'
report "only platform may use the words of the managed platform's messages" \
  "$(git grep -nE "$words" -- '*.go' ':!platform' ':!*_test.go')"
report "services must look each other up by name" \
  "$(imports ./daemon/services/... | grep -E "^$root/daemon/services/([^/ ]+)[^ ]* $root/daemon/services/" |
     awk -v p="$root/daemon/services/" '{ a=$1; b=$2; sub(p,"",a); sub(p,"",b); sub("/.*","",a); sub("/.*","",b); if (a!=b) print }')"
report "the daemon must not import the emulators" \
  "$(imports ./daemon/... ./cmd/flamingobeamd/... | grep -E " $root/emulate")"
report "no thread may poll by sleeping" \
  "$(grep -rn 'time\.Sleep' --include='*.go' . | grep -v _test.go)"
exit $bad
