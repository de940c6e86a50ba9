#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH="../../target/deps:../.."
export PYTHONDONTWRITEBYTECODE=1
timeout -k 5 110 python3 case.py
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
