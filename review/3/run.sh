#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/wagtaildrum ] && [ -x ../../target/review/standin ] || exit 2
exec ../../target/review/standin stop-cut ../../target/wagtaildrum record.txt
