#!/bin/sh
# See claim.txt. TROUBLE=0: the same with an input of 1,680 bytes.
cd "$(dirname "$0")" && exec python3 case.py
