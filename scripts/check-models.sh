#!/usr/bin/env bash
# Model checks with Spin, sourced by scripts/test.sh, which defines check. The
# search of a good model must be exhaustive and find no error; the search of a
# known-bad variant must find an assertion violation. Spin is installed if it is
# missing. Up to 4 searches run concurrently, each with at most 4 GB of memory.
# States are stored in full rather than as hashes.

models_out=out/models
models_parallel=4
models_seconds=900
rm -rf "$models_out"
mkdir -p "$models_out"

# model_list prints one search per line:
# NAME KIND FILE SPIN-FLAGS | CC-FLAGS | RUN-FLAGS
# KIND is good or bad.
model_list() {
  local two="-DDAEMONS=2 -DSPAN=1" three="-DDAEMONS=3 -DSPAN=1 -DTERMS=2 -DROUNDS=1 -DPROMPT_REPLY -DNO_RETURN -DWARM"
  local full="| -m1000000 -w26" small="| -m1000000 -w24 -E"
  cat <<LIST
settings-3-warm good settings $three | $full
settings-2-terms-3 good settings $two -DTERMS=3 -DROUNDS=1 | $full
settings-2-rounds-2 good settings $two -DTERMS=2 -DROUNDS=2 | $full
settings-2-late-read good settings $two -DTERMS=2 -DROUNDS=1 -DLATE_READ | $full
journal good journal -DREVISIONS=12 | $small
jobs good jobs -DDAEMONS=2 -DEPOCHS=3 | $small
duties-unchecked good duties | $small
duties-checked good duties -DCHECKS | $small
bad-wait-t bad settings $two -DTERMS=2 -DROUNDS=1 -DBAD_WAIT_T | $full
bad-no-majority bad settings $two -DTERMS=2 -DROUNDS=1 -DBAD_NO_MAJORITY | $full
bad-no-count bad settings $three -DHORIZON=6 -DBAD_NO_COUNT | $full
bad-early-accept bad settings $two -DTERMS=2 -DROUNDS=1 -DBAD_EARLY_ACCEPT | $full
bad-dated-at-receipt bad settings $two -DTERMS=2 -DROUNDS=1 -DBAD_DATED_AT_RECEIPT | $full
bad-grant-stranger bad settings $two -DTERMS=2 -DROUNDS=1 -DBAD_GRANT_STRANGER | $full
bad-grant-unread bad settings $two -DTERMS=2 -DROUNDS=1 -DBAD_GRANT_UNREAD | $full
bad-ack-cut bad settings $two -DTERMS=2 -DROUNDS=1 -DBAD_ACK_CUT | $full
bad-no-fence bad journal -DBAD_NO_FENCE | $small
bad-numbered bad journal -DBAD_NUMBERED | $small
bad-jobs-no-owner bad jobs -DBAD_NO_OWNER | $small
bad-jobs-no-log bad jobs -DBAD_NO_LOG | $small
bad-jobs-early-read bad jobs -DBAD_EARLY_READ | $small
bad-jobs-blind-retry bad jobs -DBAD_BLIND_RETRY | $small
bad-duties-no-delay bad duties -DBAD_NO_DELAY | $small
bad-duties-no-delay-checked bad duties -DCHECKS -DBAD_NO_DELAY | $small
bad-duties-short-delay bad duties -DBAD_SHORT_DELAY | $small
bad-duties-short-delay-checked bad duties -DCHECKS -DBAD_SHORT_DELAY | $small
bad-duties-early-check bad duties -DBAD_EARLY_CHECK | $small
bad-duties-reply-time bad duties -DBAD_REPLY_TIME | $small
bad-duties-restore bad duties -DBAD_RESTORE | $small
bad-duties-reuse bad duties -DBAD_REUSE | $small
LIST
}

# search LINE generates, compiles and runs the verifier of a line of model_list.
search() {
  local name kind file rest spin_flags cc_flags run_flags root=$PWD
  read -r name kind file rest <<<"$1"
  IFS='|' read -r spin_flags cc_flags run_flags <<<"$rest"
  mkdir -p "$models_out/$name" && cd "$models_out/$name" || return 1
  # shellcheck disable=SC2086
  spin -a $spin_flags "$root/spec/$file.pml" >spin.log 2>&1 &&
    gcc -O2 -w -DSAFETY -DNOREDUCE -DMEMLIM=4000 $cc_flags -o pan pan.c >cc.log 2>&1 &&
    timeout "$models_seconds" ./pan $run_flags >pan.log 2>&1
  echo "exit $?" >>pan.log
}

# verify NAME KIND checks the log of a search for the expected result.
verify() {
  local log=$models_out/$1/pan.log
  grep -E 'errors:|states, stored|Search not completed|hash factor|assertion violated|^exit' "$log" || { cat "$models_out/$1"/*.log; return 1; }
  case $2 in
    bad) grep -q 'assertion violated' "$log" ;;
    good) grep -q 'errors: 0' "$log" && ! grep -q 'Search not completed' "$log" && grep -q '^exit 0' "$log" ;;
  esac
}

# install_spin installs Spin if it is missing.
install_spin() {
  command -v spin >/dev/null || { apt-get update && apt-get install -y spin; }
}

check spin install_spin
export -f search
export models_out models_seconds
model_list | xargs -P "$models_parallel" -d '\n' -I{} bash -c 'search "$1"' _ {}
while read -r name kind _; do
  check "model-$name" verify "$name" "$kind"
  echo "        $kind: $(grep -hoE '[0-9.e+]+ states, stored' "$models_out/$name/pan.log" | tail -1)"
done < <(model_list)
