"""Quality of experience from players' reports: aggregated, merged and compared by rack and title.

It makes no placement decisions and does not trust players' clocks. Start reading at `tally.py` (aggregation)
and `judge.py` (fault localisation). Everything but `keep.py` is free of I/O.
"""
