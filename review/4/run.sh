#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves out the request that crashes upstreams. KEEP=0 makes the
# upstreams close each connection after its answer.
set -u
cd "$(dirname "$0")/../.."
[ -x review/bin/poison ] && [ -x target/src/daemon/turmericwingd ] || exit 2
folder=$(mktemp -d) || exit 2
timeout 110 review/bin/poison "$PWD" "$folder" review/4/record.txt
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit "$status"
