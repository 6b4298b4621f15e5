#!/usr/bin/env bash
# Builds what the scripts of the cases start: the driver with its stand-ins. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/reviewdriver ./review/driver
