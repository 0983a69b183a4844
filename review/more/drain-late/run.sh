#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; what was sent, answered and run is in
# record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
export TROUBLE="${TROUBLE:-1}"
export RECORD="$here/record.txt"
exec "$here/../../run_case.sh" leaving
