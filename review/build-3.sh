#!/bin/sh
# Builds the stand-ins of cases 11 to 15. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/standins ./review/_standins-3
