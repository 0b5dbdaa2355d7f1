#!/usr/bin/env bash
# Builds, checks format and lint, and runs all tests, model checks and trace replays.
# Usage: scripts/test.sh [--quick]   (--quick leaves out lint, sanitizers, models and fuzzing)
set -euo pipefail
cd "$(dirname "$0")/.."
quick=false
[ "${1:-}" = "--quick" ] && quick=true
scripts/install-deps.sh

# Tests listed in KNOWN-RED.txt ("test: NAME" lines) are printed and passed over; all others must pass.
known_red=""
if [ -f KNOWN-RED.txt ]; then
    known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)
    [ -n "$known_red" ] && { echo "known red, passed over:"; cat KNOWN-RED.txt; }
fi
step() { printf '\n== %s\n' "$*"; }
run_tests() {
    ctest --preset "$1" --no-tests=error -j 8 ${known_red:+-E "^($known_red)$"}
}

step "format"
git ls-files '*.cpp' '*.h' | xargs -r clang-format --dry-run --Werror

step "build (release)"
cmake --preset release >/dev/null
cmake --build --preset release
if ! $quick; then
    step "lint"
    git ls-files 'src/*.cpp' 'tools/*.cpp' 'platform/*.cpp' | grep -v /tests/ | xargs -r -P 10 -n 2 clang-tidy --quiet -p build/release 2>/dev/null
    for it in asan tsan; do
        step "tests ($it)"
        cmake --preset "$it" >/dev/null
        cmake --build --preset "$it"
        run_tests "$it"
    done
    if [ -x scripts/model.sh ]; then
        step "model checks"
        scripts/model.sh
    fi
    if [ -x scripts/fuzz.sh ]; then
        step "fuzzing (bounded, seeded)"
        scripts/fuzz.sh
    fi
    if [ -x scripts/replay.sh ]; then
        step "trace replay"
        scripts/replay.sh
    fi
fi
step "tests (release)"
run_tests release
