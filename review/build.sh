#!/usr/bin/env bash
# Builds the stand-in of all cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o bin/standin standin/standin.cc
