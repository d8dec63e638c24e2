"""Experiments on the model: plans, sweeps over all cores, results that are kept, comparisons, a search.

Never touches a running fleet. Start reading at `carry.py`; what is decided stands in `decide.py` (which run
is next), `compare.py` (what a difference says) and `search.py` (which script is tried next).
"""
