"""Simulated peers of a gateway for tests: media hosts, list service, viewers, the network between gateways.

They use only a gateway's public protocols. Each is seeded, so that a run can be repeated, and injects faults
on command. Start reading at `world.py` and `viewers.py`; `links.py` and `places.py` are free of I/O.
"""
