"""Quality of experience from players' reports: counted, merged over gateways, judged by rack and title.

It places nothing and trusts no player's clock. Start reading at `tally.py` (what is counted) and `judge.py`
(who is to blame); all of it but `keep.py` is free of I/O.
"""
