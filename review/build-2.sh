#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of cases 6 and later start.
# The program under test is built by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o target/review-2/play \
  review/play-2/*.cc
