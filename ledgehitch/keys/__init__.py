"""Certificates and fleet keys: issuing, listing, rotation with an overlap, revocation and authorization.

Secrets stay in files that only their owner can read: never in a log, an argument or a record. Start reading
at `judge.py`, which is free of I/O.
"""
