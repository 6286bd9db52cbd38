#!/usr/bin/env bash
# Measures the time that a gateway adds: one load process sends in turn to a backend server and to a gateway before it,
# each a process of its own on loopback. Prints the times of both for each run.
#   benchmarks/added-latency.sh [RUNS] [RATE] [SECONDS] [BACKEND-SERVERS]
set -eu
here=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
runs=${1:-5}
rate=${2:-1000}
seconds=${3:-10}
servers=${4:-14}
folder=$(mktemp -d)
started=()
finish() {
    kill "${started[@]}" 2> /dev/null || true
    rm -rf "$folder"
}
trap finish EXIT
export JAVA_OPTIONS="${GATEWAY_OPTIONS:--Xmx256m}"
run() { "$here/chivecourse" "$@"; }
options=$JAVA_OPTIONS
port=${FIRST_PORT:-21000}
{
    printf 'format: 1\nrevision: 1\nservices:\n- name: jobs\n  routes:\n'
    printf '  - {methods: [get], path-prefix: /jobs/lookups, attempts: 3}\n  backend-servers:\n'
    for ((i = 1; i <= servers; i++)); do
        # Only the first address is served; the others leave, so that the configuration has the size that is asked for.
        mode=leaving
        [ "$i" -gt 1 ] || mode=active
        printf '  - {address: "127.0.0.1:%d", data-centre: si-a, slots: 1000, connections: 1000, mode: %s}\n' \
            $((port + 100 + i)) "$mode"
    done
} > "$folder/configuration.yaml"
cat > "$folder/gateway.yaml" << Y
name: host-1
data-centre: si-a
callers: {address: "127.0.0.1:$((port + 1))"}
operators: {address: "127.0.0.1:$((port + 2))"}
configuration-service: ["127.0.0.1:$port"]
host-list: ["127.0.0.1:$port"]
expected-hosts: 1
drain: {linger-milliseconds: 1, deadline-milliseconds: 1000}
Y
"$here/chivecourse" stand-in configuration-service --port "$port" --file "$folder/configuration.yaml" > "$folder/service.log" 2>&1 &
started+=($!)
"$here/chivecourse" stand-in backend-server --port $((port + 101)) --slots 1000 --service-milliseconds 0 > "$folder/server.log" 2>&1 &
started+=($!)
JAVA_OPTIONS="$options ${ONLY_GATEWAY:-}" "$here/chivecourse" gateway --settings "$folder/gateway.yaml" > "$folder/gateway.log" 2>&1 &
started+=($!)
until curl -sf "http://127.0.0.1:$((port + 2))/ready" > /dev/null; do sleep 0.2; done
for ((i = 1; i <= runs; i++)); do
    run load --target "127.0.0.1:$((port + 101)),127.0.0.1:$((port + 1))" --rate "$rate" \
        --seconds $((seconds + 5)) --warm-up-seconds 5 --write-percent 0 --seed "$i" 2> /dev/null \
        | sed -e "s/^127.0.0.1:$((port + 101))/direct /" -e "s/^127.0.0.1:$((port + 1))/gateway/" | grep -vE '^all|^ANSWERED'
done
echo "load average $(cut -d' ' -f1-3 /proc/loadavg)"
