#!/bin/bash
# Builds the stand-ins of the cases into review/bin. Needs the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for name in silence poison leaving malformed drill; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "standin/$name.cpp" -o "bin/$name" &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit $status
