"""One gateway: passes events from its sockets to the decision module and executes the module's decisions.

It takes no decision on placement or rates itself. Start reading at `executor.py`. `host_monitor.py` (failure
detector of media hosts), `host_list.py` (the list of media hosts) and `peer_codec.py` (datagrams between
gateways) are free of I/O.
"""
