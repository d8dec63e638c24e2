"""`python -m ledgehitch.simhost`: the decisions on the simulator's wire."""

import sys

from ledgehitch.simhost.wire import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
