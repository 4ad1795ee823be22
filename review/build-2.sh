#!/bin/sh
# Builds the stand-ins of the scripts of the second review, and those of the first that they use.
# The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standin ./review/standin
go build -tags review -o target/review/standin2 ./review/standin2
