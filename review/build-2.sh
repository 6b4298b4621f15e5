#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/rig ./review/rig
