#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
python3 case.py
case $? in 10) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
