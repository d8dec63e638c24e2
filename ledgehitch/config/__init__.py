"""Configuration files: sites and days as typed records, validated when they are read.

The package reads files, reports mistakes and derives settings. It opens no connection and starts no process.
Start reading at `site.py`. `day.py` defines day scripts and their faults.
"""

from ledgehitch.config.day import KINDS, Day, Fault, read_day
from ledgehitch.config.read import BadInput, read_record
from ledgehitch.config.site import Site, facts_of, read_site

__all__ = ["KINDS", "BadInput", "Day", "Fault", "Site", "facts_of", "read_day", "read_record", "read_site"]
