"""One gateway: sockets' events become the module's calls, and what it decides is carried out.

It places, blocks and steps nothing by itself. Start reading at `carry.py`; `gate.py` (what may leave),
`watch.py` (which media hosts are lost), `roll.py` (which list counts) and `peers.py` are free of I/O.
"""
