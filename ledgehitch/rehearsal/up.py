"""`ledgehitch up`: a gateway, the list service and six media hosts on loopback, for trying out."""

import json
import signal
import sys
import tempfile
from pathlib import Path

import msgspec

from ledgehitch.config import Day
from ledgehitch.loop import Event, Loop
from ledgehitch.rehearsal.play import DidNotStart, Stage

DAY = {
    "name": "up",
    "length": 1e9,
    "settle": 0.0,
    "arrivals": {"rate": 1.0, "mix": [{"package": "recorded"}, {"package": "live"}]},
    "shape": {"gateways": 1, "hosts": 6, "titles": 20, "rack": 3, "peer_loss": 0.0, "link_kb": 60000.0},
}


def run_up(port: int, seed: int) -> int:
    """Runs until Ctrl-C or SIGTERM, then ends every process that it started."""
    day = msgspec.convert(DAY, type=Day)
    loop = Loop()

    def main() -> int:
        over = Event(loop)
        restore = loop.on_signals([signal.SIGINT, signal.SIGTERM], over.set)
        with tempfile.TemporaryDirectory(prefix="ledgehitch-up-") as directory:
            stage = Stage(loop, day, seed, Path(directory), port=port)
            try:
                stage.start_world()
                stage.start_gateway("g0")
                print(json.dumps({"gateway": f"http://{stage.site.gateways[0].at}"}), flush=True)
                fallen = loop.spawn(stage.children["g0"].wait, name="gateway")
                loop.spawn(lambda: over.set(fallen.wait() or 1), name="gateway ended")
                over.wait()
            except DidNotStart as wrong:
                print(f"ledgehitch: {wrong}", file=sys.stderr)
                return 2
            finally:
                stage.end()
                restore()
        return 0

    return int(loop.run(main))
