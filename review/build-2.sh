#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-rig ./review/rig
