"""One owner at a time for work on behalf of the fleet: votes, leases, terms and the fence at who receives.

It never does a duty's work, opens a socket or reads a clock; what it lets through is no promise on viewings.
Start reading at `votes.py` (the promises that `tests/explore_owners.py` checks), then `decide.py`.
"""
