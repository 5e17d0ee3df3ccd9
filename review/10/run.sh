#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review2 ] && [ -x bin/cherryramp ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec bin/review2 answers-cut review/10/record.txt
