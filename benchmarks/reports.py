"""Players' reports: into state on one core, the memory they take, and what they cost set-ups beside them.

`python -m benchmarks.reports`. Players and media hosts are simulated; each table is of one run.
"""

import json
import os
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.gateway import Process, loaded, site_file
from ledgehitch.quality.facts import Report, ViewingRecord
from ledgehitch.quality.tally import Tally

REPORTS, TITLES, RACKS = 1_000_000, 100_000, 20


def _rss_mb() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4 / 1024


def state() -> dict[str, Any]:
    """A million reports of a million viewings over 100,000 titles, 1,200 s of the gateway's time."""
    before, tally = _rss_mb(), Tally("g0", 1)
    held, spent = {}, 0.0
    for n in range(REPORTS):
        now = 1e6 + n * 1200 / REPORTS
        tally.on_viewing_admitted(
            f"v{n}", ViewingRecord(f"{n % RACKS}", f"t{n * 7919 % TITLES}", now - 0.1, now, package="live")
        )
        report = Report(sn=0, ts=n, msd=50 + n % 400, bsd=[400] if n % 50 == 0 else [], rung=n % 4)
        t0 = time.perf_counter()
        tally.on_report(now + 0.05, f"v{n}", report)
        spent += time.perf_counter() - t0
        if (n + 1) % (REPORTS // 4) == 0:
            held[f"mb_after_{n + 1}"] = round(_rss_mb() - before, 1)
    return {
        "reports_a_second": round(REPORTS / spent),
        **held,
        "mb_before": round(before, 1),
        "most_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
        "taken": tally.counts.taken,
        "doubles_wrongly": tally.counts.doubles,
    }


def _asked(reporter: subprocess.Popen[str], line: str) -> None:
    assert reporter.stdin is not None
    reporter.stdin.write(line + "\n")
    reporter.stdin.flush()


def beside(seconds: float = 5.0, viewings: int = 4000) -> dict[str, Any]:
    """Set-ups at 200 a second, in turns without and with reports, taken by a process beside the gateway and,
    as before, by the gateway itself."""
    return {
        where: _beside(where == "process beside", seconds, viewings)
        for where in ("process beside", "the gateway itself")
    }


def _beside(apart: bool, seconds: float, viewings: int) -> dict[str, Any]:
    found: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as directory:
        state_dir = Path(directory) / "state"
        path, at = site_file(Path(directory), 56, reports=apart)
        processes = [
            Process("-m", "benchmarks.peers", "hosts", str(path), core=1),
            Process(
                "-m",
                "ledgehitch",
                "--log-level",
                "error",
                "serve",
                "--site",
                str(path),
                "--state",
                str(state_dir),
                core=0,
            ),
        ]
        if apart:
            processes.append(
                Process(
                    "-m",
                    "ledgehitch",
                    "--log-level",
                    "error",
                    "reports",
                    "--site",
                    str(path),
                    "--state",
                    str(state_dir),
                    core=2,
                )
            )
        front = processes[1]
        time.sleep(2.5)
        reporter = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.peers", "reports", at, str(viewings)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            assert reporter.stdin is not None and reporter.stdout is not None
            os.sched_setaffinity(reporter.pid, {3, 4})
            reporter.stdout.readline()
            for turn in range(3):
                for posts, batch in ((0, 0), (250, 20), (1000, 20)):
                    if posts:
                        _asked(reporter, f"{posts} {batch} {seconds + 1}")
                        time.sleep(0.5)
                    cpu = front.cpu()
                    (one,) = loaded(at, 200, seconds, name=f"s{turn}-{posts}-")
                    key = f"{posts * batch} reports/s"
                    cell = found.setdefault(key, {"p50": [], "p99": [], "cpu": [], "became": []})
                    cell["p50"].append(one["ms"]["0.5"])
                    cell["p99"].append(one["ms"]["0.99"])
                    cell["cpu"].append(round((front.cpu() - cpu) / seconds, 2))
                    if posts:
                        cell["became"].append(json.loads(reporter.stdout.readline()))
            reporter.stdin.close()
            reporter.wait()
        finally:
            reporter.kill()
            for process in processes:
                process.end()
    return found


if __name__ == "__main__":
    parts = {"state": state, "beside": beside}
    print(json.dumps({name: parts[name]() for name in sys.argv[1:] or parts}, indent=1))
