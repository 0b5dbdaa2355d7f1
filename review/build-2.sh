#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
common="review/standin-2/net.cpp review/standin-2/store.cpp review/standin-2/gateway.cpp review/standin-2/deployment.cpp"
for program in earlyanswer handover silentstore slowreader slowserver; do
    # shellcheck disable=SC2086
    g++ -std=c++17 -O1 -g -Wall -Wextra -pthread "review/standin-2/$program.cpp" $common -o "$out/$program"
done
