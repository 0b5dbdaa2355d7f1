#!/usr/bin/env bash
# Replays the committed traces and compares the verdicts with the expected files; then checks that altered and cut copies
# are reported. Usage: scripts/replay.sh [--accept]   (--accept writes the expected files)
set -euo pipefail
cd "$(dirname "$0")/.."
replay=${GALENAROCK_REPLAY:-build/release/bin/galenarock-replay}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

verdict() {
    local status=0
    "$replay" "$@" || status=$?
    echo "exit $status"
}

for it in traces/*.trace; do
    verdict "$it" >"$work/verdict"
    expected="${it%.trace}.expected"
    if [ "${1:-}" = "--accept" ]; then
        cp "$work/verdict" "$expected"
    fi
    if ! diff -u "$expected" "$work/verdict"; then
        echo "verdict of $it differs"
        failed=1
    fi
done

# Each copy must be reported at a byte offset with status 1.
must_report() {
    if verdict "$1" >"$work/verdict" && grep -q '^exit 1$' "$work/verdict" && grep -q 'byte [0-9]' "$work/verdict"; then
        return
    fi
    echo "$2 is not reported"
    failed=1
}

copies=0
size=$(stat -c %s traces/clean.trace)
for ((n = 0; n < size; n += 97)); do
    head -c "$n" traces/clean.trace >"$work/copy.trace"
    must_report "$work/copy.trace" "a copy cut at byte $n"
    cp traces/clean.trace "$work/copy.trace"
    old=$(od -An -tu1 -j "$n" -N 1 traces/clean.trace)
    printf "\\x$(printf %02x $((old ^ 1)))" | dd of="$work/copy.trace" bs=1 seek="$n" conv=notrunc status=none
    must_report "$work/copy.trace" "a copy altered at byte $n"
    copies=$((copies + 2))
done
echo "replayed $(ls traces/*.trace | wc -l) traces and $copies altered or cut copies"
exit "$failed"
