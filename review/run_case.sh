#!/bin/sh
# Runs one case: run_case.sh FOLDER MODE. Starts the stand-in of the platform
# and one gateway with the command of the deploy file, then the clients of the
# case. Status: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$1
mode=$2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
cd "$root" || exit 2
work=$(mktemp -d) || exit 2
pids=""
finish() {
    for p in $pids; do kill "$p" 2>/dev/null; done
    for p in $pids; do wait "$p" 2>/dev/null; done
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
standin=review/out/standin
export RECORD="$root/$folder/record.txt"
: >"$RECORD" || exit 2
[ -x "$standin" ] && [ -x target/galenagw ] || exit 2

ip=127.0.0.50
base=$($standin ports $ip 5) || exit 2
$standin platform >"$work/platform.out" &
pids="$pids $!"
n=0
until grep -q '^store' "$work/platform.out"; do
    n=$((n + 1))
    [ $n -lt 100 ] || exit 2
    sleep 0.05
done
store=$(sed -n 's/^store //p' "$work/platform.out")
cat >"$work/gateway.conf" <<END
node_name=edge-sapporo-a-1
role=gateway
machine_class=edge
serves=edge,control_plane
ip=$ip
zone=sapporo-a
region=sapporo
zones.sapporo-a=sapporo
listen.front=$ip:$((base + 2))
listen.ready_addr=$ip:$((base + 3))
listen.control=$ip:$((base + 4))
port_range=$base,$((base + 1))
seeds=$ip:$((base + 4))
bootstrap=true
limits.cpu_share=0.5
limits.memory_mb=512
limits.max_fds=10250
limits.link_mbps=200.0
heartbeat_ms=1200
bounds.contact_ms=4000
bounds.drain_ms=3000
bounds.grace_s=8
bounds.lost_slack_ms=200
bounds.config_apply_ms=3000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=98
bounds.version_ms=10000
platform.address=$store
platform.form=log
END
# The command of [roles.gateway] in deploy/system.toml; the variable is the
# platform's.
GALENAGW_BOOT="$work/gateway.conf" target/galenagw gateway \
    >"$work/gateway.out" 2>"$work/gateway.err" &
gateway=$!
pids="$pids $gateway"
if ! $standin ready $ip $((base + 3)); then
    cat "$work/gateway.err" >&2
    exit 2
fi
$standin "$mode" $ip $((base + 2)) $gateway
code=$?
echo "-- the gateway's log" >>"$RECORD"
cat "$work/gateway.out" >>"$RECORD"
grep -E 'answered, |were complete' "$RECORD"
exit $code
