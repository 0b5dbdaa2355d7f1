#!/usr/bin/env bash
# Checks the models with spin: no error in the full model, and a counterexample for each mutant without one guard.
# Prints states and verdicts. Measured limits: 3 runs at a time, each below 0.6 GB.
set -euo pipefail
cd "$(dirname "$0")/.."
models="$PWD/model"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints: model, variant, expected errors (0 or 1), errors found, states, MB. Fails when they differ.
check() {
    local model=$1 variant=$2 expected=$3
    local dir="$work/$model-$variant"
    mkdir -p "$dir"
    cd "$dir"
    spin -a "-D$variant" "$models/$model.pml" >spin.log
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=1300 -o pan pan.c
    timeout 150 ./pan -m200000 >pan.log 2>&1 || true
    local errors states memory verdict=ok
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
    states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
    memory=$(sed -n 's/ *\([0-9.]*\).*total actual memory usage.*/\1/p' pan.log)
    if [ "${errors:-none}" != "$expected" ] || grep -qE 'max search depth too small|out of memory|Search not completed' pan.log; then
        # A counterexample also ends the search early, which is what a mutant is for.
        if [ "$expected" != 1 ] || [ "${errors:-none}" != 1 ]; then
            verdict=FAILED
        fi
    fi
    printf '%-8s %-20s expected %s found %s states %10s memory %7s MB %s\n' \
        "$model" "$variant" "$expected" "${errors:-none}" "${states:-?}" "${memory:-?}" "$verdict"
    [ "$verdict" = ok ]
}
export -f check
export models work

cases=(
    "grants FULL 0"
    "grants NO_DEPUTY_STOP 1" "grants NO_NONCE 1" "grants NO_TOKEN 1" "grants NO_SUCCESSION_FENCE 1"
    "grants NO_HOLD_CAP 1" "grants NO_STAMP 1" "grants NO_IDENTITY 1" "grants NO_OWN_STOP 1"
    "takeover FULL 0" "takeover BEFORE 1" "takeover NO_WAIT 1" "takeover NO_ALL 1" "takeover NO_PROMISE 1"
    "moves FULL 0" "moves COMPLETE 1" "moves REVERT 1" "moves NO_RECORD 1" "moves NO_UNANSWERED 1" "moves NO_TOKEN 1"
    "moves NO_RESOLVED 1" "moves NO_WAIT 1"
    "permits FULL 0"
    "permits NO_PERMIT 1" "permits NO_EMPTY_RING 1" "permits NO_IN_FLIGHT 1"
)
printf '%s\n' "${cases[@]}" | xargs -P 3 -I{} bash -c 'set -euo pipefail; check {}'
echo "all models as expected"
