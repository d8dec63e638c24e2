"""Traces of the traffic on all sockets ("tapes"), and the checker that verifies the six rules from a tape
alone.

The checker knows nothing of a gateway's internals and runs after a test day. Start reading at `check.py`;
`tape.py` defines what is written to a tape.
"""
