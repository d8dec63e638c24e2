"""Status queries and rolling changes (drain, restart, reload, retire) over many gateways.

A gateway that does not answer is reported as such, and no plan acts on a gateway twice. Start reading at
`plan.py` and `found.py`, which are free of I/O; `journal.py` stores what must survive a restart of the tool.
"""
