#!/usr/bin/env bash
# Plays the case caller-left. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/damaskport ] && [ -x target/review-stand ] || exit 2
timeout -s KILL 118 target/review-stand -case caller-left -record review/5/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
