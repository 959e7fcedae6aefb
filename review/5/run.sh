#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")" || exit 2
timeout --signal=INT --kill-after=1 118 python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;; # BROKEN_STATUS in common/world.py; an error of the script itself gives another
    *) exit 2 ;;
esac
