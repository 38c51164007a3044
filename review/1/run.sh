#!/bin/bash
# Exits with 1 if a charge was run twice, 0 if none was, 2 if the case could not run. TROUBLE=0: no upgrades.
cd "$(dirname "$0")" && exec timeout -k 5 115 python3 case.py
