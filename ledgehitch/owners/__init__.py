"""Leader election for duties done on behalf of the fleet: votes, leases, terms and fencing at receivers.

The package does no duty's work, opens no socket and reads no clock; it makes no promise about viewings.
Start reading at `votes.py`, whose invariants `tests/explore_owners.py` checks, then `decide.py`.
"""
