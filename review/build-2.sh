#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standins ./review/_standins-2
