#!/usr/bin/env bash
# Builds the libFuzzer programs and runs each a bounded number of times with a fixed seed from its committed corpus.
# Usage: scripts/fuzz.sh [RUNS]   (default 20000 runs for each program)
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
cmake --preset fuzz >/dev/null
programs=()
for it in fuzz/*.cpp; do
    programs+=("$(basename "$it" .cpp)")
done
cmake --build --preset fuzz --target "${programs[@]}" -j 4
for it in "${programs[@]}"; do
    echo "-- $it"
    work=$(mktemp -d)
    corpus=()
    [ -d "fuzz/corpus/$it" ] && corpus=("fuzz/corpus/$it")
    # New inputs go to the first directory, so the committed corpus stays as it is.
    "build/fuzz/bin/$it" -seed=1 -runs="$runs" -max_len=2048 -timeout=10 -rss_limit_mb=2048 -max_total_time=120 \
        -print_final_stats=0 -verbosity=0 "$work" "${corpus[@]}"
    rm -rf "$work"
done
