#!/usr/bin/env bash
# Runs the Torrefactos deployment on loopback: platform stand-in, 3 daemons in 3 failure domains, 30 backend servers.
# Drives 15 s of mixed load while one server is killed and one entry VM is restarted gracefully, and audits every request.
# Exit status: 0 when the audit finds no fault and the planned stop exits with 0.
# Usage: scripts/demo.sh [--rate N] [--keep-logs]
set -euo pipefail
cd "$(dirname "$0")/.."

rate=400
keep_logs=false
while [ $# -gt 0 ]; do
    case "$1" in
    --rate) rate=${2:?--rate needs a number}; shift 2 ;;
    --keep-logs) keep_logs=true; shift ;;
    *) echo "demo.sh: unknown argument: $1" >&2; exit 2 ;;
    esac
done

load_seconds=15
domains=(rioja navarra aragon)
bin=build/release/bin
logs=$(mktemp -d)
declare -A pid=()

source scripts/deployment.sh

scripts/install-deps.sh
cmake --preset release >/dev/null
cmake --build --preset release --target galenarockd galenarockctl galenarock-platform galenarock-backend galenarock-load

start_deployment
wait_until_serving

say "$load_seconds s of load at $rate requests/s"
"$bin/galenarock-load" "${load_args[@]}" --rate "$rate" --seconds "$load_seconds" --seed 7 --resend 5 \
    --json "$logs/report.json" >"$logs/report.txt" 2> >(grep --line-buffered ' s  sent ' >&2) &
pid[load]=$!

sleep 4
say "killing vitrina-3; it does not come back"
post "http://$(listening vitrina 2)/control/faults" '{"server":"vitrina-3","crash":true,"downMs":600000}'
sleep 2
post "http://$platform/control/vms/vitrina-3" '{"state":"gone"}'

say "restarting vm-2 gracefully"
old=("$(listening vm-2 2)" "$(listening vm-2 4)" "$(listening vm-2 6)")
post "http://$platform/control/vms/vm-2" '{"state":"leaving"}'
kill -TERM "${pid[vm-2]}"
stop_status=0
wait "${pid[vm-2]}" || stop_status=$?
say "vm-2 exited with status $stop_status"
start_daemon 2 "${old[@]}"
post "http://$platform/control/vms/vm-2" '{"state":"live"}'

load_status=0
wait "${pid[load]}" || load_status=$?
say "audit"
cat "$logs/report.txt"
[ "$stop_status" -eq 0 ] || fail "the planned stop of vm-2 exited with status $stop_status"
[ "$load_status" -eq 0 ] || fail "the load exited with status $load_status"
say "no request doubled, mixed up, cut or falsely refused"
