#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs the C++
# compiler only, and no network.
set -eu
cd "$(dirname "$0")"
mkdir -p out
${CXX:-c++} -std=c++17 -O1 -g -Wall -Wextra -pthread -o out/standin standin.cc
