#!/bin/sh
# Builds the stand-ins of review/6 to review/10: they are Python, so compiling them ahead of time is all.
cd "$(dirname "$0")/.." || exit 2
for folder in review/rig2 review/6 review/7 review/8 review/9 review/10; do
    test ! -d $folder || .venv/bin/python -m compileall -q $folder || exit 2
done
