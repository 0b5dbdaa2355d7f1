#!/bin/bash
# A request crashes each server that begins to run it; the machines of the crashed servers fall silent.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/bin/poison
if [ ! -x target/bin/galenarock-gateway ] || [ ! -x "$program" ]; then
    echo "build first: the build line of deploy/system.toml, then review/build.sh"
    exit 2
fi
logs=$(mktemp -d) || exit 2
trap 'rm -rf "$logs"' EXIT
timeout -k 3 110 "$program" "$here" "$logs" dark
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
