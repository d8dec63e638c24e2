"""The platform's door to the decisions: viewers over RTSP, media hosts over JSON lines, a journal, peers.

It never chooses a media host, a rung or who is turned away: `brain.py` does, through the calls of `simhost`.
Start reading at `carry.py`; `desk`, `lost`, `lines`, `pace`, `bounds` and `life` decide what is new here.
"""
