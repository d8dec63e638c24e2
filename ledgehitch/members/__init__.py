"""Membership of the fleet by gossip: which gateways are present.

The package opens no socket, and no member's claim enlarges its part of the fleet's limits. Start reading at
`roster.py`.
"""
