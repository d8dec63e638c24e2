"""One gateway asked for three times what the hosts hold: answers in patience, joins of the admitted."""

import json
import tempfile
from pathlib import Path
from typing import Any

from ledgehitch.config import read_day
from ledgehitch.rehearsal.play import rehearse

DAY = Path(__file__).parent.parent / "days" / "overload.lh"


def main() -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as place:
        told = rehearse(read_day(DAY), 5, Path(place)).summary()
    keep = ("visits", "joined", "joined_in_time", "joins_s", "answers")
    return {"kept": told["kept"], "breaches": told["breaches"], **{k: told["service"].get(k) for k in keep}}


if __name__ == "__main__":
    print(json.dumps(main()))
