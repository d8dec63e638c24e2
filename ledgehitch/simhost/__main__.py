"""`python -m ledgehitch.simhost`: runs the decisions on the simulator's protocol."""

import sys

from ledgehitch.simhost.wire import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
