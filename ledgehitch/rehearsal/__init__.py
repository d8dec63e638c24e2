"""Plays day scripts on loopback: real gateway processes against stand-ins, checked from the recorded tape.

The checks use the tape alone, never the internal state of a gateway. The entry point is `play.py`.
"""
