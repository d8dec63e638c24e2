"""A gateway on the operators' platform: viewers over RTSP, media hosts over JSON lines, a journal, peers.

Which media host and rung a viewing gets, and which viewer is refused, is decided in `brain.py` alone.
`controller.py` connects that module with the network. `sessions`, `failure_detector`, `connection_choice`,
`throttle`, `resource_limits` and `lifecycle` hold the decisions that only this platform needs, free of I/O.
"""
