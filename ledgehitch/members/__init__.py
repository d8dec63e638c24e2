"""Which gateways are there, told by gossip; how many share the fleet's limits, with a safe side.

It never opens a socket and never takes anyone's word for a larger part. Start reading at `roster.py`.
"""
