#!/usr/bin/env bash
# Plays this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 115 review/bin/crowd review/3/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
