#!/bin/sh
# Builds the stand-ins of the scripts of the second review. It runs in the repository root, after
# the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin2
