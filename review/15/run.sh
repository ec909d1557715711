#!/bin/sh
# See claim.txt. TROUBLE=0: the same without the kill.
cd "$(dirname "$0")" && exec python3 case.py
