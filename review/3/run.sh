#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not be played. TROUBLE=0: with a length in each answer.
cd "$(dirname "$0")" && exec python3 -B case.py
