"""All measurements of the gateway in one run, as JSON: two minutes, with nothing else beside it."""

import json
import sys

from benchmarks import gateway, overload

seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 4.0
print(json.dumps({**gateway.main(seconds), "overload": overload.main()}, indent=1))
