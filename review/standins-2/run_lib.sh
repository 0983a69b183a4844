# Functions of the scripts of the cases 4 to 8. Sourced with $here set to the
# folder of the case.
cd "$here/../.." || exit 2
work=$(mktemp -d)
pids=""
trap cleanup EXIT

# Ends the processes that this script started.
cleanup() {
    for p in $pids; do
        kill -CONT "$p" 2>/dev/null
        kill "$p" 2>/dev/null
    done
    for p in $pids; do
        wait "$p" 2>/dev/null
    done
    rm -rf "$work"
}

# start NAME COMMAND...: a process; its id is in $pid_NAME.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    eval "pid_$name=$!"
    pids="$pids $!"
}

# await FILE: until a step is reached; 20 s at most.
await() {
    for _ in $(seq 400); do
        [ -e "$work/$1" ] && return
        sleep 0.05
    done
    echo "step $1 was not reached" >&2
    tail -3 "$work"/*.err >&2
    exit 2
}

# ready IP: whether the gateway there says that it is ready.
ready() {
    local line=""
    exec 9<>"/dev/tcp/$1/$((base + 3))" || return 1
    printf 'GET /galenagw/ready HTTP/1.1\r\nHost: x\r\n\r\n' >&9
    read -r -t 2 line <&9
    exec 9>&-
    [[ $line == *" 200 "* ]]
}

# await_ready IP: until the gateway there is ready; 20 s at most.
await_ready() {
    for _ in $(seq 400); do
        ready "$1" 2>/dev/null && return
        sleep 0.05
    done
    echo "the gateway at $1 did not become ready" >&2
    exit 2
}

# finish NAME: exits as the process does.
finish() {
    local pid_name="pid_$1"
    local code=0
    wait "${!pid_name}" || code=$?
    if [ "$code" -gt 2 ]; then
        code=2
    fi
    exit "$code"
}

# common_settings NAME IP STORE: the lines that all processes have.
common_settings() {
    cat <<END
node_name=$1
ip=$2
zone=zone-1
region=region-1
zones.zone-1=region-1
port_range=$base,$((base + 1))
bootstrap=false
limits.cpu_share=0.2
limits.cores=1
limits.memory_mb=${memory_mb:-192}
limits.max_fds=4096
limits.link_mbps=1000.0
heartbeat_ms=1200
discovery=platform
entry=vip
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.lost_slack_ms=200
bounds.config_apply_ms=2000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=54
bounds.version_ms=8000
bounds.version_all_ms=11000
platform.address=$3
platform.form=log
END
}

# gateway_settings NAME IP STORE
gateway_settings() {
    {
        common_settings "$@"
        cat <<END
machine_class=edge
serves=edge,control_plane
listen.front=$2:$((base + 2))
listen.ready_addr=$2:$((base + 3))
listen.control=$2:$((base + 4))
seeds=127.0.0.31:$((base + 4))
END
    } >"$work/$1.conf"
}

# sidecar_settings NAME IP STORE ENGINE
sidecar_settings() {
    {
        common_settings "$@"
        cat <<END
machine_class=side
serves=side
seeds=127.0.0.31:$((base + 4))
app=$4
service=model
END
    } >"$work/$1.conf"
}

# The first of some ports that are free on the addresses of the processes.
is_free() {
    ! (exec 9<>"/dev/tcp/$1/$2") 2>/dev/null
}
free_base() {
    local base offset ip
    for _ in $(seq 50); do
        base=$((20000 + RANDOM % 10000))
        for offset in 0 1 2 3 4 10 11; do
            for ip in 127.0.0.11 127.0.0.12 127.0.0.13 127.0.0.31 127.0.0.32; do
                is_free "$ip" $((base + offset)) || continue 3
            done
        done
        echo "$base"
        return
    done
    echo "no free ports" >&2
    exit 2
}
base=$(free_base) || exit 2
