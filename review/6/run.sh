#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH="../../target/deps:../.."
export PYTHONDONTWRITEBYTECODE=1
timeout -k 5 110 python3 case.py
# An error of the script itself ends with neither of the first two codes.
case $? in 10) exit 1 ;; 0) exit 0 ;; *) exit 2 ;; esac
