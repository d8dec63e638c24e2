"""WHIP (RFC 9725) and WHEP as state: offers, viewings and their resources, what is answered and to whom.

It never touches a socket and places nothing. Start reading at `decide.py`; `sdp.py` reads the little of SDP
that is needed and passes the rest through.
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
