"""Certificates and fleet keys: made, listed, rotated with overlap, revoked, and judged when they are shown.

No secret leaves a file that only its owner may read: none is in a log, an argument or a record. Start reading
at `judge.py`, which is free of I/O.
"""
