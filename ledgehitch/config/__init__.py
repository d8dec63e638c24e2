"""What people write down: sites and days, as typed records that are checked when they are read.

It never fetches, starts or decides anything: it reads, names what is wrong, and derives facts.
Start reading at `site.py`; `day.py` holds the one definition of faults and day scripts.
"""

from ledgehitch.config.day import KINDS, Day, Fault, read_day
from ledgehitch.config.read import BadInput, read_record
from ledgehitch.config.site import Site, facts_of, read_site

__all__ = ["KINDS", "BadInput", "Day", "Fault", "Site", "facts_of", "read_day", "read_record", "read_site"]
