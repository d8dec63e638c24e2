"""Quality of experience from players' reports: counted, merged over gateways, judged by rack and title.

It places nothing and trusts no player's clock. Start reading at `tally.py` (what is counted) and `judge.py`
(who is to blame); all of it but `keep.py` is free of I/O.
"""

from ledgehitch.quality.facts import Report, reports_in
from ledgehitch.quality.judge import Judge, Verdict
from ledgehitch.quality.passes import BadPass, Passes
from ledgehitch.quality.tally import Seen, Tally

__all__ = ["BadPass", "Judge", "Passes", "Report", "Seen", "Tally", "Verdict", "reports_in"]
