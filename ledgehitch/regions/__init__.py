"""Regions: the scope of each duty, its gateways, and the share of each budget that a region may use now.

The package elects no owner, lends nothing, opens no socket and reads no clock. Start reading at `facts.py`,
then `shares.py`, whose invariant `tests/explore_regions.py` checks.
"""
