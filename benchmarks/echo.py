"""The floor: a bare greenlet-and-poll echo that answers the same bytes, parsing nothing."""

import sys

from benchmarks.parsing import REQUEST
from benchmarks.peers import ANSWER
from ledgehitch.http.message import Response
from ledgehitch.loop import Listener, Loop, Stream, endpoint

ANSWERED = Response(201, [("Content-Type", "application/sdp"), ("Location", "/v/1")], ANSWER).encode(True)


def main(at: str) -> None:
    loop = Loop()

    def serve(stream: Stream) -> None:
        try:
            while data := stream.receive():
                if data.rstrip().endswith(b"VP8/90000") or len(data) >= len(REQUEST) - 40:
                    stream.send(ANSWERED)
        except OSError:
            pass
        finally:
            stream.close()

    def run() -> None:
        listener = Listener(loop, endpoint(at))
        print("{}", flush=True)
        while True:
            loop.spawn(serve, listener.accept())

    loop.run(run)


if __name__ == "__main__":
    main(sys.argv[1])
