#!/usr/bin/env bash
# Checks that names of the platform's interfaces occur only in platform/, standins/ and test/.
set -euo pipefail
cd "$(dirname "$0")/.."
words='target_latency_ms|max_conns|api_keys|rows-tx|rows-get|rows-feed|Fencing-Token|Lease-Holder|Target-Instance|db_role|txn_idle_ms|rate_per_s|sync_replicas|tombstone|cloud_api|CONNLIMIT|LAGGING|INDOUBT|STEPDOWN'
found=$(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' \
    | grep -vE '^(platform|standins|test)/' | xargs grep -nE "\b($words)\b" || true)
if [ -n "$found" ]; then
    echo "names of the platform's interfaces found outside platform/, standins/ and test/:"
    echo "$found"
    exit 1
fi
echo "boundary: names of the platform's interfaces occur only in platform/, standins/ and test/"
