#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be played. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/anvilcart ] || [ ! -x build-review-3/review-case ]; then
    echo "build the product as deploy/system.toml says, then review/build-3.sh" >&2
    exit 2
fi
timeout --kill-after=5 110 build-review-3/review-case same-id-in-two-queues review/14/record.txt target/anvilcart
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
