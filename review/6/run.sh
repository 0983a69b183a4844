#!/bin/bash
# Case 6; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2
# if the case could not run. TROUBLE=0: without the cut.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standins-2/run_lib.sh"
agents=$((base + 10)) # the gateway reaches the sidecars through links

start world target/review-2/case-6 "$work" "$here/record.txt" 127.0.0.31 \
    $((base + 2)) "${TROUBLE:-1}" "$base" "$agents"
await world
. "$work/world"
gateway_settings gateway1 127.0.0.31 "$link"
GALENAGW_BOOT=$work/gateway1.conf start gateway1 target/galenagw gateway
for i in 1 2 3; do
    engine="engine$i"
    sidecar_settings "sidecar$i" "127.0.0.1$i" "$store" "${!engine}"
    sed -i "s/^port_range=.*/port_range=$agents,$((agents + 1))/" \
        "$work/sidecar$i.conf"
    GALENAGW_BOOT=$work/sidecar$i.conf start "sidecar$i" \
        target/galenagw-agent sidecar
done
await_ready 127.0.0.31
touch "$work/ready"
finish world
