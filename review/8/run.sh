#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# Needs the build of the deploy file and review/build-2.sh.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.."
logs=$(mktemp -d)
timeout --kill-after=5 115 build/review-2/silentstore "$case_dir/record.txt" "$logs"
status=$?
grep -ahE "terminate called|what\(\)" "$logs"/*.log >> "$case_dir/record.txt"
rm -rf "$logs"
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
