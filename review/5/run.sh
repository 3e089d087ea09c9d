#!/usr/bin/env bash
# Plays the case; see claim.txt. With TROUBLE=0 it leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickorydrum ] && [ -x target/review-standin ] || exit 2
exec target/review-standin takeover review/5/record.txt
