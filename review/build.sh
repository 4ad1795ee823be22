#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standin ./review/standin
