#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/driver ./review/testdata/driver
