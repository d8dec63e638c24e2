"""A gateway as a daemon: its life cycle, state directory, supervisor, and the admin API for operators.

This package makes no decision on viewings and never ends one whose request is pending. Start reading at
`life.py`, which is free of I/O; `admin.py` and `run.py` carry out its decisions.
"""
