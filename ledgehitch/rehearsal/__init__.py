"""Days played on loopback: real gateways against stand-ins, judged from the tape.

It never looks inside a gateway to judge it. Start reading at `play.py`; `plan.py` lays out sites and picks
whom a fault meets, free of I/O.
"""
