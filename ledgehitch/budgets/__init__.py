"""Budgets of the whole fleet, divided among its gateways by use: own parts that need nobody, and loans.

It never spends, opens a socket or reads a clock; `door/` goes by what it says, `daemon/` carries its words.
Start reading at `ledger.py` (its promise: `tests/explore_budgets.py`), then `lender.py` and `borrower.py`.
"""
