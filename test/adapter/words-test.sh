#!/usr/bin/env bash
# Fails if words of the platform's protocol appear in src/ or include/; they belong in platform/.
set -euo pipefail
cd "$(dirname "$0")/../.."
words='X-Attempt-Id|X-Response-Seal|X-Deadline-Ms|X-Expect-Instance|X-Affinity-Key|X-Not-Run|X-Server-Load'
words+='|Server-Leaving|Server-Limit|Store-Era'
words+='|X-Tenant|X-Cold-Ms|X-Instance-Id|/api/|rows-tx|rows-get|rows-feed|op/config|op/rollout|op/evacuate'
words+='|home_regions|api_keys|rate_per_s|cold_per_s|cold_left|has_more|tombstone'
found=$(grep -rnE "$words" src include || true)
[ -z "$found" ] && exit 0
echo "words of the platform outside platform/:"
echo "$found"
exit 1
