#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 leaves the disruption out. Exit status: 1 broken, 0 held, 2 could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-world ] || exit 2
exec target/review-world -scenario label -dir "$here"
