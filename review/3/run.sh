#!/bin/bash
# Exits with 1 if the returning partner was pushed over, 0 if not, 2 if the
# case could not run. TROUBLE=0: no outage.
cd "$(dirname "$0")" && exec timeout -k 5 115 python3 case.py
