#!/bin/sh
# Plays the case of this folder and writes record.txt beside this script; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec .venv/bin/python review/8/case.py review/8/record.txt
