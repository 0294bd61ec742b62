#!/usr/bin/env bash
# Runs the case; with TROUBLE=0 without the disruption. Exits with 1 if the rule was broken,
# with 0 if it held and with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/laburnumhollow ] || exit 2
exec target/review/stand port review/4/record.txt
