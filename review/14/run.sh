#!/bin/sh
# See claim.txt. TROUBLE=0: the same with a request that crashes nothing.
cd "$(dirname "$0")" && exec python3 case.py
