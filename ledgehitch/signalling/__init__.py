"""The signalling state of WHIP (RFC 9725) and WHEP: offers, viewings, their resources and answers.

Uses no socket and makes no placement decisions. Start reading at `decide.py`; `sdp.py` parses the subset of
SDP that is needed.
"""

from ledgehitch.signalling.decide import (
    AbandonViewing,
    Answer,
    EndViewing,
    Kind,
    ViewingRegistry,
    ViewingResult,
)
from ledgehitch.signalling.sdp import BadSdp, Fragment, Offer, parse_fragment, parse_sdp

__all__ = [
    "Answer",
    "BadSdp",
    "ViewingRegistry",
    "EndViewing",
    "Fragment",
    "Kind",
    "AbandonViewing",
    "Offer",
    "ViewingResult",
    "parse_fragment",
    "parse_sdp",
]
