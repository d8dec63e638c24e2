#!/bin/sh
# Builds the stand-ins that the cases start: Python of the standard library, compiled ahead of time.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -m compileall -q .
