"""Fleet-wide budgets, divided among the gateways by use: fixed own parts, and loans beside them.

The package spends nothing, opens no socket and reads no clock: `door/` enforces the parts, `daemon/`
transports the messages. Start reading at `ledger.py`, whose invariant `tests/explore_budgets.py` checks, then
`lender.py` and `borrower.py`.
"""
