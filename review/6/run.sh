#!/bin/sh
# See claim.txt. With TROUBLE=0 the same without the disruption. Writes record.txt; exits with 1 if the rule was broken,
# 0 if it held, 2 if it could not run.
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
