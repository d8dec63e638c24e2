"""Who is let in to the decision module, in which order, and what the others are told.

Never touches a socket or a clock, and never holds more than its fixed number of cells and places, whatever
comes. Start reading at `decide.py`, where the parts are put together.
"""
