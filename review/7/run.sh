#!/bin/sh
# Case 7. TROUBLE=0 leaves the disruption out. Exit code 1: broken, 0: held, 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/7 ] && [ -x bin/bramblefall ] || { echo "run the deploy build and review/build-2.sh first" >&2; exit 2; }
exec review/bin/7 review/7/record.txt
