"""The signalling state of WHIP (RFC 9725) and WHEP: offers, viewings, their resources and answers.

Uses no socket and makes no placement decisions. Start reading at `decide.py`; `sdp.py` parses the subset of
SDP that is needed.
"""

from ledgehitch.signalling.decide import Answer, Desk, End, Kind, Leave, Settled
from ledgehitch.signalling.sdp import BadSdp, Fragment, Offer, read_fragment, read_sdp

__all__ = [
    "Answer",
    "BadSdp",
    "Desk",
    "End",
    "Fragment",
    "Kind",
    "Leave",
    "Offer",
    "Settled",
    "read_fragment",
    "read_sdp",
]
