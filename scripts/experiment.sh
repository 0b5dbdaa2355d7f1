#!/usr/bin/env bash
# Runs one group of experiments on real processes on loopback and prints a table; the JSON is written beside it.
# Usage: scripts/experiment.sh faults [ROW...]     every row is one run of 14 s of load with a fault from second 4 on
#        scripts/experiment.sh capacity            control cost for 3 to 80 daemons, from benchmark/cluster
# Exit status: 1 when a row shows a doubled, mixed-up, cut or falsely "not run" request, or two owners.
set -euo pipefail
cd "$(dirname "$0")/.."

group=${1:-}
shift || true
rate=300
load_seconds=14
domains=(rioja navarra aragon)
bin=build/release/bin
keep_logs=false

# Faults: each function runs in the background, 4 s after the load has begun.
fault_none() { :; }
fault_server_killed() {
    post "http://$(listening vitrina 2)/control/faults" '{"server":"vitrina-3","crash":true,"downMs":600000}'
}
fault_server_frozen() {
    post "http://$(listening vitrina 2)/control/faults" '{"server":"vitrina-3","freezeMs":6000}'
}
fault_daemon_killed() {
    kill -KILL "${pid[vm-2]}"
    sleep 1
    post "http://$platform/control/vms/vm-2" '{"state":"gone"}'
}
fault_daemon_paused() {
    kill -STOP "${pid[vm-2]}"
    sleep 6
    kill -CONT "${pid[vm-2]}"
}
fault_daemon_stopped() {
    post "http://$platform/control/vms/vm-2" '{"state":"leaving"}'
    kill -TERM "${pid[vm-2]}"
}
fault_platform_down() { post "http://$platform/control/faults" '{"down":true}'; }
fault_platform_down_and_server_killed() {
    fault_platform_down
    sleep 1
    fault_server_killed
}
fault_platform_down_and_daemon_paused() {
    fault_platform_down
    sleep 1
    fault_daemon_paused
}
fault_lost_write_answers() { post "http://$platform/control/faults" '{"loseAnswers":3}'; fault_server_killed; }
fault_daemon_paused_and_server_frozen() {
    fault_server_frozen
    fault_daemon_paused
}

rows=(none server_killed server_frozen daemon_killed daemon_paused daemon_stopped platform_down
    platform_down_and_server_killed platform_down_and_daemon_paused lost_write_answers
    daemon_paused_and_server_frozen)

run_row() (
    row=$1
    logs=$(mktemp -d)
    declare -A pid=()
    source scripts/deployment.sh
    start_deployment >"$logs/start.txt"
    wait_until_serving >>"$logs/start.txt"
    "$bin/galenarock-load" "${load_args[@]}" --rate "$rate" --seconds "$load_seconds" --seed 11 --resend 5 \
        --timeout-ms 8000 --json "$out/$row.json" >"$out/$row.txt" 2>/dev/null &
    pid[load]=$!
    sleep 4
    "fault_$row"
    wait "${pid[load]}" || true # the audit in the report decides, below
)

print_table() {
    printf '%-34s %8s %8s %7s %6s %6s %4s %13s %11s %12s\n' fault answered not-run unknown double mixed cut false-not-run \
        stale-owner vitrina-gap
    local row
    for row in "$@"; do
        jq -r --arg row "$row" '[$row, ([.services[].counts.answered] | add), ([.services[].counts.notRun] | add),
            ([.services[].counts.unknown] | add), .doubled, .mixedUp, .cut, .falseNotRun,
            .staleOwnerRuns, .services.vitrina.measures.longestUnavailableSeconds] | @tsv' "$out/$row.json" |
            awk -F'\t' '{printf "%-34s %8d %8d %7d %6d %6d %4d %13d %11d %10.2f s\n", $1, $2, $3, $4, $5, $6, $7, $8, $9, $10}'
    done
}

scripts/install-deps.sh
cmake --preset release >/dev/null
cmake --build --preset release | tail -1
case "$group" in
faults)
    out=build/experiments
    mkdir -p "$out"
    [ $# -gt 0 ] && rows=("$@")
    for it in "${rows[@]}"; do
        rm -f "$out/$it.json" # a load that fails must not leave an earlier report in the table
        run_row "$it"
    done
    print_table "${rows[@]}"
    for it in "${rows[@]}"; do
        jq -e '.journalsComplete and
            .doubled + .mixedUp + .cut + .falseNotRun + .staleOwnerRuns + .answeredWithoutRun == 0' "$out/$it.json" >/dev/null ||
            { echo "experiment.sh: $it violates the audit" >&2; exit 1; }
    done
    ;;
capacity)
    "$bin/cluster"
    ;;
*)
    sed -n '2,6s/^# //p' "$0" >&2
    exit 2
    ;;
esac
