"""A gateway as a daemon: its life cycle, its place on disk, its supervisor, and the calls of operators.

It never decides on viewings and never ends one that an answer is owed for. Start reading at `life.py`, which
is free of I/O; `admin.py` and `run.py` carry out.
"""
