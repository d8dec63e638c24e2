"""Stand-ins for what a gateway meets: media hosts, list service, viewers, the network between gateways.

They know nothing of a gateway's insides and decide nothing for it; each runs from one seed and takes faults
on command. Start reading at `world.py` and `viewers.py`; `links.py` and `places.py` are free of I/O.
"""
