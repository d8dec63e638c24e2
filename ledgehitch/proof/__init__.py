"""Tapes of what crossed the sockets, and the checker that judges the six rules from a tape alone.

It knows nothing of a gateway's insides and runs after the day. Start reading at `check.py`; `tape.py` has
the one definition of what is written on a tape.
"""
