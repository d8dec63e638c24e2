"""Runs the decisions on the simulator's protocol; makes no decision itself."""
