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

is_running() { [ -n "${pid[$1]:-}" ] && kill -0 "${pid[$1]}" 2>/dev/null; }

# Ends only processes that this script started, by their ids.
end_processes() {
    trap '' INT TERM
    local it
    # The daemons first: their planned stop needs the platform and the servers.
    for it in load vm-1 vm-2 vm-3; do
        if is_running "$it"; then
            kill -TERM "${pid[$it]}" || true
        fi
    done
    # The last daemon finds nobody to hand its mandates to and waits; it is killed below.
    for _ in $(seq 30); do
        is_running vm-1 || is_running vm-2 || is_running vm-3 || break
        sleep 0.1
    done
    for it in "${!pid[@]}"; do
        kill -TERM "${pid[$it]}" 2>/dev/null || true
    done
    sleep 0.2
    for it in $(jobs -rp); do
        kill -KILL "$it" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if $keep_logs; then
        echo "logs: $logs"
    else
        rm -rf "$logs"
    fi
}
trap end_processes EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

say() { printf '%s  %s\n' "$(date +%T)" "$*"; }
fail() { echo "demo.sh: $*" >&2; exit 1; }

# start NAME COMMAND...: runs the command in the background and waits for its line `listening ...`.
start() {
    local name=$1
    shift
    "$@" >"$logs/$name.out" 2>>"$logs/$name.err" &
    pid[$name]=$!
    for _ in $(seq 100); do
        grep -q '^listening ' "$logs/$name.out" && return
        kill -0 "${pid[$name]}" 2>/dev/null || break
        sleep 0.05
    done
    cat "$logs/$name.err" >&2
    fail "$name did not start"
}
# Word N of the line `listening ip:port [peer ip:port admin ip:port]`.
listening() { awk -v n="$2" '/^listening /{print $n; exit}' "$logs/$1.out"; }
post() { curl -sS --fail-with-body -m 5 -o /dev/null "$1" --data "$2"; }

start_daemon() {
    local n=$1 listen=$2 peer=$3 admin=$4
    GALENAROCK_PEER_KEY=$peer_key start "vm-$n" "$bin/galenarockd" --name "vm-$n" \
        --failure-domain "${domains[n - 1]}" --listen "$listen" --peer "$peer" --admin "$admin" --platform "$platform"
}
entry_json() {
    jq -n --arg name "vm-$1" --arg domain "${domains[$1 - 1]}" --arg address "$(listening "vm-$1" 2)" \
        --arg peer "$(listening "vm-$1" 4)" '{name: $name, role: "entry", service: "", failureDomain: $domain,
        address: $address, peerAddress: $peer, state: "live"}'
}

scripts/install-deps.sh
cmake --preset release >/dev/null
cmake --build --preset release --target galenarockd galenarockctl galenarock-platform galenarock-backend galenarock-load

say "platform stand-in, 30 backend servers and 3 daemons"
peer_key=$(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')
start platform "$bin/galenarock-platform"
platform=$(listening platform 2)
domain_list=$(IFS=,; echo "${domains[*]}")
start vitrina "$bin/galenarock-backend" --service vitrina --count 16 --failure-domains "$domain_list" --service-time-ms 2
# Servers of balanced services hold no keys, so they have no grants to check.
start tostadero "$bin/galenarock-backend" --service tostadero --count 8 --failure-domains "$domain_list" --unchecked
start almacen "$bin/galenarock-backend" --service almacen --count 6 --failure-domains "$domain_list" --unchecked
for n in 1 2 3; do
    start_daemon "$n" 127.0.0.1:0 127.0.0.1:0 127.0.0.1:0
done
services=(vitrina tostadero almacen)
load_args=(--mix "vitrina=70,tostadero=20,almacen=10" --keys 2000)
for it in "${services[@]}"; do
    control=$(listening "$it" 2)
    curl -sS --fail -m 5 "http://$control/control/vms" >"$logs/$it.vms"
    load_args+=(--journal "$control")
done
for n in 1 2 3; do
    entry_json "$n" >"$logs/vm-$n.vms"
    load_args+=(--entry "$(listening "vm-$n" 2)" --ready "$(listening "vm-$n" 6)")
done
jq -s 'flatten' "$logs"/*.vms >"$logs/vms.json"
curl -sS --fail -m 5 -o /dev/null -X PUT "http://$platform/control/vms" --data-binary "@$logs/vms.json"

say "documents of examples/"
for it in "${services[@]}"; do
    "$bin/galenarockctl" put "examples/$it.json" --platform "$platform"
done

say "waiting until every service answers"
is_serving=false
for attempt in $(seq 20); do
    "$bin/galenarock-load" "${load_args[@]}" --rate 100 --seconds 0.5 --seed "$attempt" --timeout-ms 2000 --settle-ms 0 \
        --json "$logs/warmup.json" >"$logs/warmup.out" 2>>"$logs/warmup.err" || true
    if jq -e '[.services[].counts] | all(.requests == .answered)' "$logs/warmup.json" >/dev/null; then
        is_serving=true
        break
    fi
done
$is_serving || { cat "$logs/warmup.out" >&2; fail "the services do not answer"; }

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
