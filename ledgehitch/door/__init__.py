"""Admission control: which viewers are admitted, in which order, and what the rest are told.

Uses no socket and no clock, and holds a fixed number of cells and queue places whatever the load. Start
reading at `decide.py`, which puts the parts together.
"""
