#!/bin/bash
# Case 7; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2
# if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standins-2/run_lib.sh"

start world target/review-2/case-7 "$work" "$here/record.txt" 127.0.0.31 \
    $((base + 2)) "${TROUBLE:-1}"
await world
. "$work/world"
gateway_settings gateway1 127.0.0.31 "$store"
sidecar_settings sidecar1 127.0.0.11 "$store" "$engine"
GALENAGW_BOOT=$work/gateway1.conf start gateway1 target/galenagw gateway
GALENAGW_BOOT=$work/sidecar1.conf start sidecar1 target/galenagw-agent sidecar
await_ready 127.0.0.31
touch "$work/ready"
finish world
