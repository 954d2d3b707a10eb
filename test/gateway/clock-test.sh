#!/usr/bin/env bash
# Fails if the gateway or a library that it uses reads the time of day, which differs between hosts and jumps.
# Only log lines have it.
set -euo pipefail
cd "$(dirname "$0")/../.."
found=$(grep -rnE 'wallNow\(|system_clock|CLOCK_REALTIME|gettimeofday|\btime\((nullptr|NULL|0)\)' \
    src/gateway src/routing src/limits src/rollout platform include/turmericwing/gateway \
    include/turmericwing/routing include/turmericwing/limits include/turmericwing/rollout || true)
[ -z "$found" ] && exit 0
echo "the time of day is read:"
echo "$found"
exit 1
