#!/usr/bin/env bash
# Builds the stand-in that the scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS="${GOFLAGS:--buildvcs=false}" go build -o target/review-standin ./review/standin
