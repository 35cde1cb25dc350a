#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not be played. TROUBLE=0: without the loss of a store.
cd "$(dirname "$0")" && exec python3 -B case.py
