#!/bin/bash
# Exits with 1 if the returning partner was pushed over, 0 if not, 2 if the case could not run. TROUBLE=0: no outage.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 python3 case.py
status=$?
grep -E ' (BROKEN|could_not_run|result) ' record.txt | tail -5
case $status in
  10) exit 1 ;;
  0) exit 0 ;;
  *) exit 2 ;;
esac
