#!/bin/sh
# Runs one case: run_case.sh MODE, with TROUBLE and RECORD set by the run.sh of the
# case. Starts the stand-in of the platform, a sidecar beside each of three model
# workers and one gateway with the commands of the deploy file, then the clients of
# the case. Status: 1 the rule was broken, 0 it held, 2 the case could not run.
mode=$1
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
cd "$root" || exit 2
# contact_ms, drain_ms, config_apply_ms, retry_slack, version_ms of the site
bounds="4000 3000 3000 98 10000" # hawa-maps-grown
[ "$mode" != leaving ] || bounds="3000 2000 2000 54 8000" # edau-banks
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
: >"$RECORD" || exit 2
[ -x "$standin" ] && [ -x target/galenagw ] &&
    [ -x target/galenagw-agent ] || exit 2

ip=127.0.0.50
# The sidecars listen at $agents; the gateway reaches them through links.
base=$($standin ports 7 $ip 127.0.0.44 127.0.0.45 127.0.0.46) || exit 2
agents=$((base + 5))
$standin platform $base $agents >"$work/platform.out" &
platform=$!
pids="$pids $platform"
n=0
until grep -qs '^store' "$work/platform.out"; do
    n=$((n + 1))
    [ $n -lt 100 ] || exit 2
    sleep 0.05
done
store=$(sed -n 's/^store //p' "$work/platform.out")
link=$(sed -n 's/^link //p' "$work/platform.out")
settings() { # NAME CLASS SERVES IP FIRST_PORT STORE BOUNDS...
    cat <<END
node_name=$1
machine_class=$2
serves=$3
ip=$4
zone=sapporo-a
region=sapporo
zones.sapporo-a=sapporo
port_range=$5,$(($5 + 1))
seeds=$ip:$((base + 4))
bootstrap=true
limits.cpu_share=0.2
limits.memory_mb=192
limits.max_fds=4096
limits.link_mbps=200.0
heartbeat_ms=1200
bounds.contact_ms=$7
bounds.drain_ms=$8
bounds.grace_s=8
bounds.lost_slack_ms=200
bounds.config_apply_ms=$9
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=${10}
bounds.version_ms=${11}
platform.address=$6
platform.form=log
END
}
# The commands of deploy/system.toml; the variable is the platform's.
i=0
for engine in $(sed -n 's/^engine //p' "$work/platform.out"); do
    i=$((i + 1))
    settings "side-sapporo-a-$i" side side "${engine%:*}" $agents "$store" $bounds \
        >"$work/side$i.conf"
    printf 'app=%s\nservice=hawa-llm\n' "$engine" >>"$work/side$i.conf"
    GALENAGW_BOOT="$work/side$i.conf" target/galenagw-agent sidecar \
        >"$work/side$i.out" 2>"$work/side$i.err" &
    pids="$pids $!"
done
settings edge-sapporo-a-1 edge edge,control_plane $ip $base "$link" $bounds \
    >"$work/gateway.conf"
cat >>"$work/gateway.conf" <<END
listen.front=$ip:$((base + 2))
listen.ready_addr=$ip:$((base + 3))
listen.control=$ip:$((base + 4))
END
GALENAGW_BOOT="$work/gateway.conf" target/galenagw gateway \
    >"$work/gateway.out" 2>"$work/gateway.err" &
gateway=$!
pids="$pids $gateway"
if ! $standin ready $ip $((base + 3)); then
    cat "$work/gateway.err" >&2
    exit 2
fi
sleep 1
$standin "$mode" $ip $((base + 2)) $gateway $platform
code=$?
if [ "$mode" = leaving ] && [ $code = 0 ]; then
    $standin judge "$RECORD"
    code=$?
fi
for name in gateway side1 side2 side3; do
    echo "-- the log of $name" >>"$RECORD"
    cat "$work/$name.out" "$work/$name.err" >>"$RECORD"
done
grep -E 'were answered, |were complete' "$RECORD"
exit $code
