#!/usr/bin/env bash
# Exits with 1 if an acknowledged commit is lost, 0 if none is, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export RECORD=review/7/record.txt
[ -x build/review-2/case-7 ] && [ -x target/bin/amaranthhall-gateway ] || exit 2
exec build/review-2/case-7
