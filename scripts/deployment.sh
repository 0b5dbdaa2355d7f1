# Functions that start the Torrefactos deployment on loopback; sourced by demo.sh and experiment.sh.
# Needs: $bin, $logs, $keep_logs, the array `domains` and the associative array `pid`.

is_running() { [ -n "${pid[$1]:-}" ] && kill -0 "${pid[$1]}" 2>/dev/null; }

# Ends only processes that this script started, by their ids.
end_processes() {
    trap '' INT TERM
    local it
    # The daemons first: their planned stop needs the platform and the servers.
    for it in load vm-1 vm-2 vm-3; do
        if is_running "$it"; then
            kill -TERM "${pid[$it]}" || true # it may end between the two calls
        fi
    done
    # The last daemon to stop has no other daemon to hand its leadership over to and waits; it is killed below.
    for _ in $(seq 30); do
        is_running vm-1 || is_running vm-2 || is_running vm-3 || break
        sleep 0.1
    done
    for it in "${!pid[@]}"; do
        if is_running "$it"; then
            kill -TERM "${pid[$it]}" || true
        fi
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
fail() { echo "$(basename "$0"): $*" >&2; exit 1; }

# start NAME COMMAND...: runs the command in the background and waits for its line `listening ...`.
start() {
    local name=$1
    shift
    "$@" >"$logs/$name.out" 2>>"$logs/$name.err" &
    pid[$name]=$!
    for _ in $(seq 100); do
        grep -q '^listening ' "$logs/$name.out" 2>/dev/null && return
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

# Platform stand-in, 30 backend servers, 3 daemons and the documents of examples/. Sets $platform and the array load_args.
start_deployment() {
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
    load_args=(--mix vitrina=70,tostadero=20,almacen=10 --keys 2000)
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
}

wait_until_serving() {
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
}
