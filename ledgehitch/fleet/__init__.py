"""Many gateways at once: asked truthfully, drained, restarted and changed in measured steps.

It never guesses what it was not told and never touches a gateway twice for one plan. Start reading at
`plan.py` and `found.py`, which are free of I/O; `journal.py` keeps what must outlive the tool.
"""
