"""Log lines: one event a line on standard error as `key=value`, rate-limited for each event."""

import sys
import time

MAX_PER_SECOND = 10  # lines of one event
_windows: dict[str, list[float]] = {}  # start of the current second and number of lines in it, by event


def log(event: str, **fields: object) -> None:
    """Writes one line, unless the event has reached its limit for the current second."""
    now = time.time()
    window = _windows.setdefault(event, [0.0, 0.0])
    if now - window[0] >= 1.0:
        window[0], window[1] = now, 0
    window[1] += 1
    if window[1] > MAX_PER_SECOND:
        return
    pairs = " ".join(f"{k}={v!r}" if " " in f"{v}" else f"{k}={v}" for k, v in fields.items())
    sys.stderr.write(f"{now:.3f} {event} {pairs}\n")
    sys.stderr.flush()
