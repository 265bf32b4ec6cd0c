# Shell functions that run a fleet on loopback for measurements; sourced by the scripts in this folder.
# Everything listens on 127.0.0.1 and is stopped when the script exits.
set -euo pipefail
bench_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
build=${BUILD_DIR:-$bench_dir/../build}
pids=()
stop_fleet() {
    [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    pids=()
}
trap stop_fleet EXIT

platform_port=${BASE_PORT:-18500}
call_port() { echo $((platform_port + 100 + $1)); }
admin_port() { echo $((platform_port + 200 + $1)); }
mesh_port() { echo $((platform_port + 300 + $1)); }
upstream_port() { echo $((platform_port + 400 + $1)); }

start_platform() {
    "$build/testing/platform_stand_in" --ports=$platform_port,$((platform_port + 1)) &
    pids+=($!)
}

# Starts upstream stand-ins. start_upstreams COUNT SLOTS SERVICE_MS [flags...]
start_upstreams() {
    local count=$1 slots=$2 service=$3 i
    shift 3
    for ((i = 0; i < count; i++)); do
        "$build/testing/upstream_stand_in" --port="$(upstream_port $i)" --slots="$slots" --service_ms="$service" \
            --seed=$((i + 1)) "$@" &
        pids+=($!)
    done
}

# Starts a node with its own ports. start_node INDEX [flags...]
start_node() {
    local i=$1
    shift
    "$build/src/anvilpostd" --node="entry-$i" --data_centre="dc-$((i % ${DATA_CENTRES:-3}))" --listen="127.0.0.1:$(call_port "$i")" \
        --admin="127.0.0.1:$(admin_port "$i")" --mesh="127.0.0.1:$(mesh_port "$i")" --mesh_secret=bench \
        --peers="127.0.0.1:$(mesh_port 0),127.0.0.1:$(mesh_port 1)" --store=127.0.0.1:$platform_port \
        --log=error --drain_notice_ms=100 "$@" &
    pids+=($!)
    node_pid[$i]=$!
}
declare -A node_pid

# put_service UPSTREAMS POLICY_JSON: submits and confirms service "desk" through node 0, once it responds.
put_service() {
    local count=$1 policy=$2 upstreams="" i
    for ((i = 0; i < count; i++)); do
        upstreams+="${upstreams:+,}\"u$i\":{\"ip\":\"127.0.0.1\",\"port\":$(upstream_port $i),\"data_centre\":\"dc-$((i % 3))\"}"
    done
    local ctl=("$build/src/anvilpostctl" "--node=127.0.0.1:$(admin_port 0)")
    until "${ctl[@]}" status >/dev/null 2>&1; do sleep 0.05; done
    echo "{\"changes\":[{\"change\":\"put_service\",\"service\":\"desk\",\"value\":{\"hosts\":[\"desk.example\"],
        \"policy\":$policy,\"upstreams\":{$upstreams}}}]}" |
        "${ctl[@]}" intent --file=- --output=json | "${ctl[@]}" confirm --file=- >/dev/null
}

# wait_for_revision NODES REVISION: waits until the first NODES nodes have the revision in force.
wait_for_revision() {
    local i
    for ((i = 0; i < $1; i++)); do
        until "$build/src/anvilpostctl" --node="127.0.0.1:$(admin_port $i)" status 2>/dev/null |
            grep -q "revision $2,"; do sleep 0.05; done
    done
}

# targets NODES: prints the addresses of the nodes as the load generator's --targets expects them
targets() {
    local list="" i
    for ((i = 0; i < $1; i++)); do list+="${list:+,}127.0.0.1:$(call_port $i)"; done
    echo "$list"
}

# set_faults UPSTREAM JSON: sets the faults of an upstream stand-in
set_faults() { curl -s -X PUT -d "$2" "http://127.0.0.1:$(upstream_port "$1")/stand-in/faults" >/dev/null; }

# metric NODE NAME: prints the value of a node's metric, named without the prefix anvilpost_
metric() { curl -s "http://127.0.0.1:$(admin_port "$1")/metrics" | awk -v n="anvilpost_$2" '$1 == n {print $2}'; }

# cpu_seconds PID: prints the user and system time of a process so far
cpu_seconds() { awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) / hz}' "/proc/$1/stat"; }
# resident_kb PID: prints the resident memory of a process
resident_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
