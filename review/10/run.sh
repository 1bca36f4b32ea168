#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/petrelrail ] && [ -x build/review-2/10 ] || exit 2
exec build/review-2/10 review/10/record.txt
