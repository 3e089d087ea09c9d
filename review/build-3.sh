#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/rig3 ./review/rig3
