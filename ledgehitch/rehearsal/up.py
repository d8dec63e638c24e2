"""`ledgehitch up`: starts a gateway, the list service and six media hosts on loopback for local trials."""

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
    """Runs until Ctrl-C or SIGTERM, then ends every process it started, and returns the exit code."""
    day = msgspec.convert(DAY, type=Day)
    loop = Loop()

    def run_stage() -> int:
        stop_requested = Event(loop)
        restore_signals = loop.on_signals([signal.SIGINT, signal.SIGTERM], stop_requested.set)
        with tempfile.TemporaryDirectory(prefix="ledgehitch-up-") as directory:
            stage = Stage(loop, day, seed, Path(directory), port=port)
            try:
                stage.start_world()
                stage.start_gateway("g0")
                print(json.dumps({"gateway": f"http://{stage.site.gateways[0].at}"}), flush=True)
                gateway_exit = loop.spawn(stage.children["g0"].wait, name="gateway")
                loop.spawn(lambda: stop_requested.set(gateway_exit.wait() or 1), name="gateway ended")
                stop_requested.wait()
            except DidNotStart as error:
                print(f"ledgehitch: {error}", file=sys.stderr)
                return 2
            finally:
                stage.end()
                restore_signals()
        return 0

    return int(loop.run(run_stage))
