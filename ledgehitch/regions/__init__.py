"""Regions: which duty has which scope, who is in it, and what share of the whole a region may use now.

It elects nobody, lends nothing, opens no socket and reads no clock. Start reading at `facts.py`, then
`shares.py` (the promise that `tests/explore_regions.py` checks).
"""
