#!/bin/sh
# Builds the stand-ins of the cases from 9 on.
set -e
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/stand3
