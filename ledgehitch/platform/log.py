"""Log lines: one event a line on standard error, `key=value`; the same event at most ten times a second."""

import sys
import time

MOST = 10
_counts: dict[str, list[float]] = {}


def log(event: str, **fields: object) -> None:
    now = time.time()
    seen = _counts.setdefault(event, [0.0, 0.0])
    if now - seen[0] >= 1.0:
        seen[0], seen[1] = now, 0
    seen[1] += 1
    if seen[1] > MOST:
        return
    words = " ".join(f"{k}={v!r}" if " " in f"{v}" else f"{k}={v}" for k, v in fields.items())
    sys.stderr.write(f"{now:.3f} {event} {words}\n")
    sys.stderr.flush()
