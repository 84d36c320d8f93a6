#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-2/stand2 ] && [ -x target/marigoldshed ] || exit 2
exec target/review-2/stand2 -case probation -program target/marigoldshed -record "$here/record.txt"
