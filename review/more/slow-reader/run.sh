#!/bin/sh
exec "$(dirname "$0")/../../run_case.sh" review/more/slow-reader slow
