#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in poison uploads; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$case" "standin/$case.cc"
done
