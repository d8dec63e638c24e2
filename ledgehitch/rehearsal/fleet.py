"""The rig: a fleet of daemons, each a process, and faults between them. What crossed is on the tape.

    def script(rig: FleetRig) -> None:
        rig.start_all()
        rig.by_fleet("--settle", "0.2")
        rig.suspend(rig.owner("restarts"))
        rig.until(lambda: rig.plan() == "ended")

    rig = FleetRig(directory, gateways=5)
    rig.run(script)
    assert not rig.broken(whole=True)

Whom a call means may be a name or a role: "owner of restarts", "owner of budgets in north", "hall z1",
"region north", "others".
"""

import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from ledgehitch.budgets.facts import WHOLE, budgets_of
from ledgehitch.budgets.units import own_parts
from ledgehitch.config import BadInput, Day, Fault, Site
from ledgehitch.http import ConnectFailed, Interrupted
from ledgehitch.loop import Child, Loop, TimedOut, endpoint
from ledgehitch.proof.budgeted import FleetLimits, check_budgets
from ledgehitch.proof.check import Breach, check_tapes, rule_parameters
from ledgehitch.proof.owned import Violation, check_owners
from ledgehitch.proof.tape import read_tapes
from ledgehitch.regions.facts import regions_of
from ledgehitch.rehearsal.play import READY_WITHIN, Stage, free_ports
from ledgehitch.standins.cuts import Bad
from ledgehitch.standins.receiver import Receiver
from ledgehitch.standins.wires import Wires

LATER_WALL = """
import runpy, sys, time
real, real_ns, by = time.time, time.time_ns, float(sys.argv[1])
time.time, time.time_ns = (lambda: real() + by), (lambda: real_ns() + int(by * 1e9))
sys.argv = ["ledgehitch", *sys.argv[2:]]
runpy.run_module("ledgehitch", run_name="__main__")
"""
# Files of a state directory, by how they end.
KEPT = ("members", "owners", "owners-region", "plan", "carried", "quality", "door")


class FleetRig(Stage):
    def __init__(
        self,
        directory: Path,
        gateways: int = 5,
        zones: int = 1,
        lease: float = 1.5,
        seed: int = 1,
        hosts: int = 3,
        rate: float = 5.0,
        length: float = 600.0,
        verdicts_every: float = 0.0,
        watch: float = 20.0,
        **more: Any,
    ) -> None:
        """`verdicts_every`: seconds of a window; 0: no receiver. `more`: parts of the site."""
        raw = {
            "name": "fleet",
            "length": length,
            "arrivals": {"rate": rate, "mix": [{"package": "recorded", "watch": watch}]},
            "shape": {"gateways": gateways, "hosts": hosts, "titles": 5, "zones": zones},
            "site": {
                part: msgspec.Raw(msgspec.json.encode(value))
                for part, value in {"owners": {"lease": lease}, **more}.items()
            },
        }
        directory.mkdir(parents=True, exist_ok=True)
        super().__init__(Loop(), msgspec.convert(raw, Day), seed, directory)
        self.lease = lease
        # In memory where the machine has such a place: five daemons that sync one disk at once wait for each
        # other, which is that machine's and not what is looked at here.
        memory = "/dev/shm" if Path("/dev/shm").is_dir() else None
        self._states = tempfile.TemporaryDirectory(prefix="ledgehitch-", dir=memory)
        self.state, self.via = Path(self._states.name) / "state", Path(self._states.name) / "via"
        self.via.mkdir()
        ports = free_ports(2 * gateways + 1)
        owners = self.site.owners
        self.receiver_at = f"127.0.0.1:{ports[-1]}" if verdicts_every else ""
        if verdicts_every:
            every = {"verdicts_to": self.receiver_at, "verdicts_every": verdicts_every}
            owners = msgspec.structs.replace(owners, **every)
        places = [
            msgspec.structs.replace(
                g,
                members_at=f"127.0.0.1:{ports[2 * i]}",
                members_via=f"127.0.0.1:{ports[2 * i + 1]}",
                admin_via=f"unix:{self.via / g.name}",
            )
            for i, g in enumerate(self.site.gateways)
        ]
        self.site = msgspec.structs.replace(self.site, gateways=places, owners=owners)
        self.write_site()
        self.names = [g.name for g in places]
        self.wall_clock_offsets_s: dict[str, float] = {}  # seconds by which a gateway's wall clock is off
        self.receiver: Receiver | None = None
        self.random_generator = random.Random(f"{seed}/rig")

    def write_site(self) -> None:
        (self.directory / "site.json").write_bytes(msgspec.json.format(msgspec.json.encode(self.site)))

    def run(self, script: Callable[["FleetRig"], Any]) -> Any:
        """Plays the script as the loop's first task, and ends all processes whatever comes of it."""

        def main() -> Any:
            self.wires = Wires(self.loop, self.tape, self.seed)
            self.wires.members(
                self.names,
                {g.name: (endpoint(g.members_via), endpoint(g.members_at)) for g in self.site.gateways},
            )
            for name in self.names:
                self.wires.calls(name, self.via / name, self.state / f"{name}.admin")
            if self.receiver_at:
                self.receiver = Receiver(self.loop, endpoint(self.receiver_at), self.tape)
            self.start_world()
            try:
                return script(self)
            finally:
                self.end()
                self.wires.close()
                if self.receiver is not None:
                    self.receiver.close()
                self._states.cleanup()

        return self.loop.run(main)

    # ---- processes -----------------------------------------------------------------------------------------

    def start_gateway(self, name: str) -> None:
        self.lives[name] = self.lives.get(name, 0) + 1
        words = [
            "--log-level",
            "info",
            "daemon",
            "--site",
            f"{self.directory}/site.json",
            "--gateway",
            name,
            "--seed",
            str(self.seed * 1000 + self.lives[name]),
            "--state",
            str(self.state),
        ]
        if self.wall_clock_offsets_s.get(name):
            self._start_as(
                name, [sys.executable, "-c", LATER_WALL, str(self.wall_clock_offsets_s[name]), *words]
            )
        else:
            self._start(name, *words)
        self.tape.write("gateway", gateway=name, how="up")

    def _start_as(self, name: str, command: list[str]) -> None:
        with open(self.directory / "logs" / f"{name}.log", "ab") as out:
            self.children[name] = Child(self.loop, command, name, subprocess.PIPE, out.fileno())
        with self.loop.deadline(READY_WITHIN):
            if not self.children[name].first_line():
                raise BadInput(f"{name} did not start")

    def start_all(self, names: Iterable[str] = ()) -> None:
        tasks = [self.loop.spawn(self.start_gateway, n, name=f"start {n}") for n in names or self.names]
        for task in tasks:
            task.wait()

    def kill(self, who: str) -> str:
        for name in self.gateways_matching(who):
            self.tape.write("gateway", gateway=name, how="killed")
            self.children[name].signal(signal.SIGKILL)
            self.children[name].wait()
        return who

    def suspend(self, who: str) -> list[str]:
        """Stops processes; `resume` wakes them."""
        met = self.gateways_matching(who)
        for name in met:
            self.tape.write("gateway", gateway=name, how="still")
            self.children[name].signal(signal.SIGSTOP)
        return met

    def resume(self, who: str) -> None:
        for name in self.gateways_matching(who):
            self.tape.write("gateway", gateway=name, how="goes_on")
            self.children[name].signal(signal.SIGCONT)

    def reload(self, site: Site) -> None:
        """A new version of the site file, which all that run have read when this returns."""
        self.site = site
        self.write_site()
        before = {n: self.asked(n, "/v1/state")["config"]["told"] for n in self._alive()}
        for name in before:
            self.children[name].signal(signal.SIGHUP)
        self.until(
            lambda: all(
                told and told["config"]["told"] != before[n]
                for n in before
                for told in [self.asked(n, "/v1/state")]
            )
        )

    # ---- what they hold ------------------------------------------------------------------------------------

    def copy_state(self, name: str) -> Path:
        """A copy of a gateway's state as it is now."""
        to = self.directory / "copies" / f"{name}-{time.monotonic_ns()}"
        to.mkdir(parents=True)
        for path in self._files(name):
            shutil.copy2(path, to / path.name)
        return to

    def _files(self, name: str) -> list[Path]:
        return [p for end in KEPT for p in sorted(self.state.glob(f"{name}.{end}.*")) if p.is_file()]

    def replace_state(self, name: str, copy: Path | None = None) -> None:
        """Takes a stopped gateway's state away, or puts an old copy in its place."""
        for path in self._files(name):
            path.unlink()
        for path in sorted(copy.iterdir()) if copy is not None else ():
            shutil.copy2(path, self.state / path.name)

    def fill_disk(self, name: str, what: str = "owners") -> None:
        """Its next write of that file fails: where it is to be written stands a directory."""
        (self.state / f"{name}.{what}.0.new").mkdir()

    def repair_disk(self, name: str, what: str = "owners") -> None:
        (self.state / f"{name}.{what}.0.new").rmdir()

    # ---- the wires -----------------------------------------------------------------------------------------

    def cut(self, some: str, others: str = "others", there: bool = True, back: bool = True) -> None:
        """Nothing that `some` send reaches `others` (`there`), nor the reverse (`back`)."""
        these = self.gateways_matching(some)
        those = (
            [n for n in self.names if n not in these]
            if others == "others"
            else self.gateways_matching(others)
        )
        self.wires.cuts.cut(these, those, back, there)

    def heal(self) -> None:
        self.wires.cuts.heal()
        self.wires.held = lambda step: False
        self.wires.let_go()

    def bad_wires(self, loss: float = 0.0, doubled: float = 0.0, late: float = 0.0) -> None:
        self.wires.cuts.everywhere = Bad(loss, doubled, late)

    # ---- who is meant --------------------------------------------------------------------------------------

    def gateways_matching(self, who: str) -> list[str]:
        """A gateway by its name, or all that a role means now."""
        if who in self.names:
            return [who]
        kind, _, which = who.partition(" ")
        if kind == "hall":
            return [g.name for g in self.site.gateways if g.zone == which]
        if kind == "region":
            region_zones = next((r.zones for r in self.site.regions if r.name == which), [])
            return [g.name for g in self.site.gateways if g.zone in region_zones]
        if kind == "owner":
            duty, _, region = which.removeprefix("of ").partition(" in ")
            return [self.owner(duty, region=region)]
        raise BadInput(f"{who!r} is no gateway, hall NAME, region NAME or owner of DUTY (in REGION)")

    def owner(self, duty: str, but: Iterable[str] = (), within: float = 30.0, region: str = "") -> str:
        """Waits until one, not of `but`, says that it owns the duty, and gives its name. `region`: of the one
        whose gateways are asked alone."""
        found: list[str] = []
        some = self.gateways_matching(f"region {region}") if region else self.names

        def seen() -> bool:
            found[:] = [n for n in self._alive() if n in some and n not in but and self._owns(n, duty)]
            return len(found) == 1

        self.until(seen, within)
        return found[0]

    def _alive(self) -> list[str]:
        return [
            n
            for n in self.names
            if n in self.children
            and self.children[n].process.poll() is None
            and not _stopped(self.children[n].pid)
        ]

    def _owns(self, name: str, duty: str) -> bool:
        told = self.asked(name, "/v1/owners")
        return bool(told and told["duties"][duty]["mine"])

    # ---- what they say, for waiting alone: what is judged crossed the wires --------------------------------

    def asked(self, name: str, path: str) -> Any:
        """A gateway's answer at its own socket; None without one."""
        try:
            with self.loop.deadline(2.0):
                answer = self.client.request(f"unix:{self.state / name}.admin", "GET", path)
            return json.loads(answer.body) if answer.status == 200 else None
        except (TimedOut, ConnectFailed, Interrupted, OSError, ValueError):
            return None

    def until(self, true: Callable[[], Any], within: float = 30.0, every: float = 0.05) -> None:
        """Waits for something to become true; fails when it does not in a generous time. `every`: seconds
        between two looks; a look at the whole tape takes long."""
        end = time.monotonic() + within
        while not true():
            assert time.monotonic() < end, "it never became true"
            self.loop.sleep(every)

    def fleet(self, *words: str, within: float = 60.0) -> tuple[int, str]:
        """The fleet tool as a process of its own: exit code and what it said."""
        command = [
            sys.executable,
            "-m",
            "ledgehitch",
            "fleet",
            "--site",
            f"{self.directory}/site.json",
            "--admin-dir",
            str(self.state),
            "--plans",
            f"{self.directory}/plans",
            *words,
        ]
        out = self.directory / "logs" / f"tool-{time.monotonic_ns()}"
        descriptor = os.open(out, os.O_WRONLY | os.O_CREAT, 0o600)
        try:
            tool = Child(self.loop, command, "tool", descriptor, descriptor)
        finally:
            os.close(descriptor)
        with self.loop.deadline(within):
            code = tool.wait()
        return code, out.read_text()

    def by_fleet(self, *words: str) -> str:
        """Leaves a restart with the fleet; the tool is gone when this returns."""
        code, said = self.fleet("restart", "--by-fleet", "--drain-within", "0", *words)
        assert code == 0, said
        return said.split()[0]

    def plan(self) -> str:
        """The word on the latest plan that any gateway holds."""
        held = [told["held"] for n in self._alive() if (told := self.asked(n, "/v1/plans")) and told["held"]]
        return str(max(held, key=lambda w: (w["term"], w["version"]))["word"]) if held else ""

    def viewers(self) -> None:
        """Starts the day's viewers beside the daemons."""
        d = self.directory
        self._start(
            "viewers",
            "standin",
            "viewers",
            "--site",
            f"{d}/site.json",
            "--day",
            f"{d}/day.json",
            "--seed",
            str(self.seed),
            "--tape",
            f"{self.tapes}/viewers.tape",
            "--out",
            f"{d}/service.json",
        )

    def joined(self) -> dict[str, Any]:
        """Offers answered with a viewing, and how long that took, from the viewers' end of the tape."""
        asked, took = dict[Any, float](), list[float]()
        for line in self.lines():
            if line["ev"] == "ask":
                asked[line["conn"]] = line["t"]
            elif line["ev"] == "answer" and line["kind"] == "plays" and line["conn"] in asked:
                took.append(line["t"] - asked[line["conn"]])
        took.sort()

        def at(q: float) -> float:
            return round(1000 * took[int(q * (len(took) - 1))], 1) if took else 0.0

        return {"asked": len(asked), "plays": len(took), "p50_ms": at(0.5), "p99_ms": at(0.99)}

    def takeover_seconds(self, owner: str) -> float:
        """Seconds from the last words of an owner on its way out to the next one's winning, by their logs."""
        lost = [t for t, ev in self._told(owner) if ev == "lost"]
        won = [t for n in self.names if n != owner for t, ev in self._told(n) if ev == "won"]
        after = [t - lost[-1] for t in won if lost and t >= lost[-1]]
        return min(after, default=float("inf"))

    def _told(self, name: str) -> list[tuple[float, str]]:
        out = []
        for text in self.log_of(name).splitlines():
            if text.startswith("{") and '"duty": "restarts"' in text:
                line = json.loads(text)
                at = datetime.fromisoformat(line["timestamp"].replace("Z", "+00:00")).timestamp()
                out.append((at, str(line["event"])))
        return out

    def lines(self) -> list[Any]:
        self.tape.flush()
        return list(read_tapes(self.tapes))

    def broken(self, whole: bool = False, most: int = 1) -> list[Violation]:
        regions = {name: r.name for r in regions_of(self.site) for name in r.gateways}
        return check_owners(self.lines(), self.names, most, whole, regions)

    def over_budget(self, site: Site | None = None) -> list[Violation]:
        """`site`: whose limits hold, where they were changed by a reload: the largest that was in force."""
        return check_budgets(self.lines(), self.wholes(site))

    def wholes(self, site: Site | None = None) -> FleetLimits:
        """What a site gives the whole fleet, and each gateway and region of it."""
        site = site or self.site
        names, patience = [g.name for g in site.gateways], max(p.patience for p in site.packages)
        budgets = budgets_of(site.door.package_rates, site.door.set_ups, patience)
        regions = regions_of(site)
        scopes = [(r.gateways, r.share) for r in regions] or [(tuple(names), WHOLE)]
        each = [
            {
                name: own
                for some, share in scopes
                for name, own in own_parts(b, site.budgets.own_part, some, share).items()
            }
            for b in budgets
        ]
        return FleetLimits(
            site.door.package_rates,
            site.door.set_ups,
            len(names),
            patience,
            {name: [own.get(name, 0) for own in each] for name in names},
            WHOLE,
            regions={r.name: (r.gateways, r.share) for r in regions},
        )

    def first_tune_ins(self, since: float, until: float = float("inf"), by: Iterable[str] = ()) -> int:
        """First tune-ins that media hosts saw in a time of the tape's clock, of these gateways or of all."""
        some = set(by or self.names)
        return sum(
            x["ev"] == "setup"
            and since <= x["t"] < until
            and x["key"].endswith(".0")
            and x["gateway"] in some
            for x in self.lines()
        )

    def rules_broken(self) -> list[Breach]:
        return check_tapes(self.tapes, rule_parameters(self.site))[0]

    def log_of(self, name: str) -> str:
        return (self.directory / "logs" / f"{name}.log").read_text(errors="replace")

    # ---- faults of day scripts -----------------------------------------------------------------------------

    def do_fault(self, fault: Fault) -> None:
        """A fault between processes, as a day script names it; it ends by itself."""
        met = self.gateways_matching(fault.who)
        one_way = {0: (True, True), 1: (True, False), 2: (False, True)}[int(fault.extra or 0)]
        if fault.kind == "wires_cut":
            those = [n for n in self.names if n not in met]
            self.wires.cuts.cut(met, those, back=one_way[1], there=one_way[0])
            shut = {(a, b) for a in met for b in those} | {(b, a) for a in met for b in those}
            self._after(fault.len, lambda: self.wires.cuts.shut.difference_update(shut))
        elif fault.kind == "wires_bad":
            self.bad_wires(fault.strength(), fault.strength(), fault.further())
            self._after(fault.len, lambda: self.bad_wires())
        elif fault.kind == "daemon_still":
            for name in met:
                self.suspend(name)
                self._after(fault.len, lambda n=name: self.resume(n))  # type: ignore[misc]
        elif fault.kind == "daemon_killed":
            for name in met:
                self.kill(name)
                self._after(fault.len, lambda n=name: self.loop.spawn(self._start_again, n, name=n))  # type: ignore[misc]
        else:
            raise BadInput(f"{fault.kind} is no fault between daemons")

    def _start_again(self, name: str) -> None:
        """Guards against two faults that overlap starting one gateway twice: the first would be forgotten,
        and be left at work at the end."""
        if self.children[name].process.poll() is not None:
            self.start_gateway(name)

    def _after(self, seconds: float, call: Callable[[], Any]) -> None:
        self.loop.call_at(time.monotonic() + seconds, call)


def _stopped(pid: int) -> bool:
    """Whether a process stands still now."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] in ("T", "t", "Z")
    except OSError:
        return True
