"""What a fleet costs by its size: hollow gateways beside real ones, measured slopes, the page on capacity.

It is never part of a running fleet: nothing that serves sessions loads it. Start reading at `facts.py` (what
a kept result is), then `slopes.py` (what a figure at another size is worked out from).
"""
