#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout 115 target/review-3 -scenario caps -trouble=$trouble -binary target/marigoldshed -record review/13/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
