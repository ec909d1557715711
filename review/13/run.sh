#!/bin/sh
# See claim.txt. TROUBLE=0: the same with sound answers.
cd "$(dirname "$0")" && exec python3 case.py
