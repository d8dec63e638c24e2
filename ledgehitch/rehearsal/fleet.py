"""A rig for tests: a fleet of daemon processes with fault injection on the links between them.

The messages that cross the links are recorded on the tape, from which the checks are made.

    def script(rig: FleetRig) -> None:
        rig.start_all()
        rig.by_fleet("--settle", "0.2")
        rig.suspend(rig.owner("restarts"))
        rig.until(lambda: rig.plan() == "ended")

    rig = FleetRig(directory, gateways=5)
    rig.run(script)
    assert not rig.broken(whole=True)

Calls that affect gateways take the name of one or a role: "owner of restarts", "owner of budgets in north",
"hall z1" (a zone) or "region north". `cut` also takes "others".
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
from ledgehitch.rehearsal.play import READY_TIMEOUT_S, Stage, free_ports
from ledgehitch.standins.cuts import MessageFaults
from ledgehitch.standins.receiver import Receiver
from ledgehitch.standins.wires import Wires

SHIFTED_WALL_CLOCK_PROGRAM = """
import runpy, sys, time
real, real_ns, offset = time.time, time.time_ns, float(sys.argv[1])
time.time, time.time_ns = (lambda: real() + offset), (lambda: real_ns() + int(offset * 1e9))
sys.argv = ["ledgehitch", *sys.argv[2:]]
runpy.run_module("ledgehitch", run_name="__main__")
"""
# Kinds of state files of a gateway: the part of the file name after the name of the gateway.
STATE_FILE_KINDS = ("members", "owners", "owners-region", "plan", "carried", "quality", "door")


class FleetRig(Stage):
    """A fleet of daemons on loopback, with links that can be cut, delayed and made lossy."""

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
        """Prepares the site; `run` starts the stand-ins.

        `lease` and `length` are in seconds. `verdicts_every` is the length of a verdict window in seconds; 0
        starts no receiver. `more` holds further parts of the site.
        """
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
        # State is kept in memory where possible: daemons that sync one disk at the same time wait for each
        # other, which would add delays that come from the machine and not from the software under test.
        memory_directory = "/dev/shm" if Path("/dev/shm").is_dir() else None
        self._states = tempfile.TemporaryDirectory(prefix="ledgehitch-", dir=memory_directory)
        self.state, self.via = Path(self._states.name) / "state", Path(self._states.name) / "via"
        self.via.mkdir()
        ports = free_ports(2 * gateways + 1)
        owners = self.site.owners
        self.receiver_at = f"127.0.0.1:{ports[-1]}" if verdicts_every else ""
        if verdicts_every:
            verdicts = {"verdicts_to": self.receiver_at, "verdicts_every": verdicts_every}
            owners = msgspec.structs.replace(owners, **verdicts)
        gateway_records = [
            msgspec.structs.replace(
                g,
                members_at=f"127.0.0.1:{ports[2 * i]}",
                members_via=f"127.0.0.1:{ports[2 * i + 1]}",
                admin_via=f"unix:{self.via / g.name}",
            )
            for i, g in enumerate(self.site.gateways)
        ]
        self.site = msgspec.structs.replace(self.site, gateways=gateway_records, owners=owners)
        self.write_site()
        self.names = [g.name for g in gateway_records]
        self.wall_clock_offsets_s: dict[str, float] = {}  # by gateway; applied at its next start
        self.receiver: Receiver | None = None
        self.random_generator = random.Random(f"{seed}/rig")

    def write_site(self) -> None:
        """Writes the site file that the daemons and the fleet tool read."""
        (self.directory / "site.json").write_bytes(msgspec.json.format(msgspec.json.encode(self.site)))

    def run(self, script: Callable[["FleetRig"], Any]) -> Any:
        """Runs the script as the first task of the loop and returns its result; always ends all processes."""

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
        arguments = [
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
            self._start_command(
                name,
                [
                    sys.executable,
                    "-c",
                    SHIFTED_WALL_CLOCK_PROGRAM,
                    str(self.wall_clock_offsets_s[name]),
                    *arguments,
                ],
            )
        else:
            self._start(name, *arguments)
        self.tape.write("gateway", gateway=name, how="up")

    def _start_command(self, name: str, command: list[str]) -> None:
        with open(self.directory / "logs" / f"{name}.log", "ab") as out:
            self.children[name] = Child(self.loop, command, name, subprocess.PIPE, out.fileno())
        with self.loop.deadline(READY_TIMEOUT_S):
            if not self.children[name].first_line():
                raise BadInput(f"{name} did not report that it is ready")

    def start_all(self, names: Iterable[str] = ()) -> None:
        """Starts the named gateways, or all, concurrently and waits until they are ready."""
        tasks = [
            self.loop.spawn(self.start_gateway, name, name=f"start {name}") for name in names or self.names
        ]
        for task in tasks:
            task.wait()

    def kill(self, who: str) -> str:
        """Kills processes with SIGKILL and waits for their ends; returns `who`."""
        for name in self.gateways_matching(who):
            self.tape.write("gateway", gateway=name, how="killed")
            self.children[name].signal(signal.SIGKILL)
            self.children[name].wait()
        return who

    def suspend(self, who: str) -> list[str]:
        """Suspends processes with SIGSTOP until `resume`; returns the names of their gateways."""
        suspended = self.gateways_matching(who)
        for name in suspended:
            self.tape.write("gateway", gateway=name, how="still")
            self.children[name].signal(signal.SIGSTOP)
        return suspended

    def resume(self, who: str) -> None:
        """Continues processes that were suspended."""
        for name in self.gateways_matching(who):
            self.tape.write("gateway", gateway=name, how="goes_on")
            self.children[name].signal(signal.SIGCONT)

    def reload(self, site: Site) -> None:
        """Writes a new version of the site file and waits until all running daemons have loaded it."""
        self.site = site
        self.write_site()
        before = {n: self.asked(n, "/v1/state")["config"]["told"] for n in self._alive()}
        for name in before:
            self.children[name].signal(signal.SIGHUP)
        self.until(
            lambda: all(
                state and state["config"]["told"] != before[n]
                for n in before
                for state in [self.asked(n, "/v1/state")]
            )
        )

    # ---- stored state --------------------------------------------------------------------------------------

    def copy_state(self, name: str) -> Path:
        """Copies the current state files of a gateway and returns the directory of the copy."""
        target = self.directory / "copies" / f"{name}-{time.monotonic_ns()}"
        target.mkdir(parents=True)
        for path in self._state_files(name):
            shutil.copy2(path, target / path.name)
        return target

    def _state_files(self, name: str) -> list[Path]:
        return [
            p for kind in STATE_FILE_KINDS for p in sorted(self.state.glob(f"{name}.{kind}.*")) if p.is_file()
        ]

    def replace_state(self, name: str, copy: Path | None = None) -> None:
        """Deletes the state files of a stopped gateway, or replaces them with an older copy."""
        for path in self._state_files(name):
            path.unlink()
        for path in sorted(copy.iterdir()) if copy is not None else ():
            shutil.copy2(path, self.state / path.name)

    def fill_disk(self, name: str, kind: str = "owners") -> None:
        """Makes the next write of a state file fail, by creating a directory at its temporary path."""
        (self.state / f"{name}.{kind}.0.new").mkdir()

    def repair_disk(self, name: str, kind: str = "owners") -> None:
        """Undoes `fill_disk`."""
        (self.state / f"{name}.{kind}.0.new").rmdir()

    # ---- links ---------------------------------------------------------------------------------------------

    def cut(self, some: str, others: str = "others", there: bool = True, back: bool = True) -> None:
        """Drops messages from `some` to `others` (`there`) and from `others` to `some` (`back`)."""
        group = self.gateways_matching(some)
        rest = (
            [n for n in self.names if n not in group]
            if others == "others"
            else self.gateways_matching(others)
        )
        self.wires.cuts.cut(group, rest, back, there)

    def heal(self) -> None:
        """Ends all cuts and releases the messages that were held back."""
        self.wires.cuts.heal()
        self.wires.held = lambda step: False
        self.wires.release_held()

    def bad_wires(self, loss: float = 0.0, doubled: float = 0.0, late: float = 0.0) -> None:
        """Loses, duplicates and delays messages on all links."""
        self.wires.cuts.everywhere = MessageFaults(loss, doubled, late)

    # ---- selection of gateways -----------------------------------------------------------------------------

    def gateways_matching(self, who: str) -> list[str]:
        """Returns the gateway of that name, or all that the role selects now; raises `BadInput` otherwise."""
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
        raise BadInput(f"{who!r} is not a gateway, hall NAME, region NAME or owner of DUTY (in REGION)")

    def owner(self, duty: str, but: Iterable[str] = (), within: float = 30.0, region: str = "") -> str:
        """Waits until exactly one gateway reports that it owns the duty, and returns its name.

        Gateways in `but` are ignored. With `region`, only the gateways of that region are asked. Fails after
        `within` seconds.
        """
        found: list[str] = []
        candidates = self.gateways_matching(f"region {region}") if region else self.names

        def one_found() -> bool:
            found[:] = [n for n in self._alive() if n in candidates and n not in but and self._owns(n, duty)]
            return len(found) == 1

        self.until(one_found, within)
        return found[0]

    def _alive(self) -> list[str]:
        return [
            n
            for n in self.names
            if n in self.children
            and self.children[n].process.poll() is None
            and not _is_suspended_or_ended(self.children[n].pid)
        ]

    def _owns(self, name: str, duty: str) -> bool:
        owners = self.asked(name, "/v1/owners")
        return bool(owners and owners["duties"][duty]["mine"])

    # ---- queries: answers of gateways serve only for waiting, the checks use the tape ----------------------

    def asked(self, name: str, path: str) -> Any:
        """Returns the JSON answer of a gateway on its admin socket, or None without a good one within 2 s."""
        try:
            with self.loop.deadline(2.0):
                answer = self.client.request(f"unix:{self.state / name}.admin", "GET", path)
            return json.loads(answer.body) if answer.status == 200 else None
        except (TimedOut, ConnectFailed, Interrupted, OSError, ValueError):
            return None

    def until(self, condition: Callable[[], Any], within: float = 30.0, every: float = 0.05) -> None:
        """Waits until the condition holds; fails after `within` seconds.

        `every` is the polling interval in seconds; conditions that read the whole tape take long and need a
        longer one.
        """
        end = time.monotonic() + within
        while not condition():
            assert time.monotonic() < end, "the condition did not become true in time"
            self.loop.sleep(every)

    def fleet(self, *arguments: str, within: float = 60.0) -> tuple[int, str]:
        """Runs the fleet tool as a process and returns its exit code and output."""
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
            *arguments,
        ]
        output_file = self.directory / "logs" / f"tool-{time.monotonic_ns()}"
        descriptor = os.open(output_file, os.O_WRONLY | os.O_CREAT, 0o600)
        try:
            tool = Child(self.loop, command, "tool", descriptor, descriptor)
        finally:
            os.close(descriptor)
        with self.loop.deadline(within):
            code = tool.wait()
        return code, output_file.read_text()

    def by_fleet(self, *arguments: str) -> str:
        """Hands a restart plan to the fleet and returns its id; the fleet carries it out without the tool."""
        code, output = self.fleet("restart", "--by-fleet", "--drain-within", "0", *arguments)
        assert code == 0, output
        return output.split()[0]

    def plan(self) -> str:
        """Returns the state of the latest plan that any gateway holds, or an empty string without one."""
        held = [
            plans["held"] for n in self._alive() if (plans := self.asked(n, "/v1/plans")) and plans["held"]
        ]
        return str(max(held, key=lambda plan: (plan["term"], plan["version"]))["word"]) if held else ""

    def viewers(self) -> None:
        """Starts the viewers of the day."""
        directory = self.directory
        self._start(
            "viewers",
            "standin",
            "viewers",
            "--site",
            f"{directory}/site.json",
            "--day",
            f"{directory}/day.json",
            "--seed",
            str(self.seed),
            "--tape",
            f"{self.tapes}/viewers.tape",
            "--out",
            f"{directory}/service.json",
        )

    def joined(self) -> dict[str, Any]:
        """Returns counts of offers sent and accepted, and percentiles of the join time, from the tape."""
        sent_at, join_times = dict[Any, float](), list[float]()
        for line in self.lines():
            if line["ev"] == "ask":
                sent_at[line["conn"]] = line["t"]
            elif line["ev"] == "answer" and line["kind"] == "plays" and line["conn"] in sent_at:
                join_times.append(line["t"] - sent_at[line["conn"]])
        join_times.sort()

        def percentile_ms(quantile: float) -> float:
            return round(1000 * join_times[int(quantile * (len(join_times) - 1))], 1) if join_times else 0.0

        return {
            "asked": len(sent_at),
            "plays": len(join_times),
            "p50_ms": percentile_ms(0.5),
            "p99_ms": percentile_ms(0.99),
        }

    def takeover_seconds(self, owner: str) -> float:
        """Returns the seconds from the last "lost" event of an owner to the next "won" event of another.

        Taken from their logs; infinite when there is none.
        """
        lost = [at for at, event in self._ownership_events(owner) if event == "lost"]
        won = [
            at for n in self.names if n != owner for at, event in self._ownership_events(n) if event == "won"
        ]
        delays = [at - lost[-1] for at in won if lost and at >= lost[-1]]
        return min(delays, default=float("inf"))

    def _ownership_events(self, name: str) -> list[tuple[float, str]]:
        """Returns time stamps and names of the events in a log that concern the duty `restarts`."""
        events = []
        for text in self.log_of(name).splitlines():
            if text.startswith("{") and '"duty": "restarts"' in text:
                line = json.loads(text)
                at = datetime.fromisoformat(line["timestamp"].replace("Z", "+00:00")).timestamp()
                events.append((at, str(line["event"])))
        return events

    def lines(self) -> list[Any]:
        """Returns the lines of all tapes up to now."""
        self.tape.flush()
        return list(read_tapes(self.tapes))

    def broken(self, whole: bool = False, most: int = 1) -> list[Violation]:
        """Returns violations of the ownership invariants on the tape; arguments as in `check_owners`."""
        regions = {name: r.name for r in regions_of(self.site) for name in r.gateways}
        return check_owners(self.lines(), self.names, most, whole, regions)

    def over_budget(self, site: Site | None = None) -> list[Violation]:
        """Returns violations of the fleet budgets on the tape.

        `site` gives the limits. Where a reload changed them, it has to be the site with the largest.
        """
        return check_budgets(self.lines(), self.fleet_limits(site))

    def fleet_limits(self, site: Site | None = None) -> FleetLimits:
        """Returns the limits that a site sets for the whole fleet, each gateway and each region."""
        site = site or self.site
        names, patience = [g.name for g in site.gateways], max(p.patience for p in site.packages)
        budgets = budgets_of(site.door.package_rates, site.door.set_ups, patience)
        regions = regions_of(site)
        scopes = [(r.gateways, r.share) for r in regions] or [(tuple(names), WHOLE)]
        own_units = [
            {
                name: own
                for members, share in scopes
                for name, own in own_parts(budget, site.budgets.own_part, members, share).items()
            }
            for budget in budgets
        ]
        return FleetLimits(
            site.door.package_rates,
            site.door.set_ups,
            len(names),
            patience,
            {name: [own.get(name, 0) for own in own_units] for name in names},
            WHOLE,
            regions={r.name: (r.gateways, r.share) for r in regions},
        )

    def first_tune_ins(self, since: float, until: float = float("inf"), by: Iterable[str] = ()) -> int:
        """Counts first tune-ins at media hosts in a period of the tape clock, by all gateways or by `by`."""
        senders = set(by or self.names)
        return sum(
            line["ev"] == "setup"
            and since <= line["t"] < until
            and line["key"].endswith(".0")
            and line["gateway"] in senders
            for line in self.lines()
        )

    def rules_broken(self) -> list[Breach]:
        """Returns breaches of the six session rules on the tapes."""
        return check_tapes(self.tapes, rule_parameters(self.site))[0]

    def log_of(self, name: str) -> str:
        return (self.directory / "logs" / f"{name}.log").read_text(errors="replace")

    # ---- faults of day scripts -----------------------------------------------------------------------------

    def do_fault(self, fault: Fault) -> None:
        """Injects a fault between daemons, as a day script names it, and ends it after its length."""
        affected = self.gateways_matching(fault.who)
        directions = {0: (True, True), 1: (True, False), 2: (False, True)}[int(fault.extra or 0)]
        if fault.kind == "wires_cut":
            rest = [n for n in self.names if n not in affected]
            self.wires.cuts.cut(affected, rest, back=directions[1], there=directions[0])
            cut_links = {(a, b) for a in affected for b in rest} | {(b, a) for a in affected for b in rest}
            self._after(fault.len, lambda: self.wires.cuts.shut.difference_update(cut_links))
        elif fault.kind == "wires_bad":
            self.bad_wires(fault.size_or_default(), fault.size_or_default(), fault.extra_or_default())
            self._after(fault.len, lambda: self.bad_wires())
        elif fault.kind == "daemon_still":
            for name in affected:
                self.suspend(name)
                self._after(fault.len, lambda n=name: self.resume(n))  # type: ignore[misc]
        elif fault.kind == "daemon_killed":
            for name in affected:
                self.kill(name)
                self._after(fault.len, lambda n=name: self.loop.spawn(self._restart_if_ended, n, name=n))  # type: ignore[misc]
        else:
            raise BadInput(f"{fault.kind} is not a fault between daemons")

    def _restart_if_ended(self, name: str) -> None:
        """Starts a gateway again unless it runs already.

        Two overlapping faults could otherwise start it twice, and the first process would no longer be known
        and keep running after the end.
        """
        if self.children[name].process.poll() is not None:
            self.start_gateway(name)

    def _after(self, seconds: float, callback: Callable[[], Any]) -> None:
        self.loop.call_at(time.monotonic() + seconds, callback)


def _is_suspended_or_ended(pid: int) -> bool:
    """Returns whether a process is suspended, a zombie or gone."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] in ("T", "t", "Z")
    except OSError:
        return True
