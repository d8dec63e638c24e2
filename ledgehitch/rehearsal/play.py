"""Starts all processes of a day, plays it, ends them, and has the tape judged."""

import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import structlog

from ledgehitch.config import BadInput, Day, Fault, Site
from ledgehitch.gateway.reports import EXCHANGE_INTERVAL_S
from ledgehitch.http import Client, ConnectFailed, Interrupted
from ledgehitch.loop import Child, Loop, TimedOut
from ledgehitch.proof.check import Breach, check_tapes, rule_parameters
from ledgehitch.proof.tape import Tape
from ledgehitch.standins.plan import Step, site_of, steps_of

MOST_GATEWAYS, MOST_HOSTS = 64, 400  # of a day on loopback: each gateway is a process
PORTS = 10_240, 32_768  # for what a day starts
APART = 8  # processes that draw ports at once, at best
_DRAWN: deque[int] = deque(maxlen=1000)  # given lately, by this process
READY_WITHIN = 20.0  # seconds for a process to be ready
log = structlog.get_logger("rehearsal")


class DidNotStart(BadInput):
    """A process of the day did not come up; the text has its last words."""


@dataclass
class Result:
    """What a day came to."""

    day: str
    seed: int
    service: dict[str, Any] = field(default_factory=dict)
    breaches: list[Breach] = field(default_factory=list)
    tape: dict[str, int] = field(default_factory=dict)
    faults: list[dict[str, Any]] = field(default_factory=list)
    gateways: dict[str, Any] = field(default_factory=dict)
    exits: dict[str, int] = field(default_factory=dict)
    quality: dict[str, Any] = field(default_factory=dict)  # each gateway's report, where players report
    started_at: float = 0.0
    directory: str = ""

    def summary(self) -> dict[str, Any]:
        rules = {str(rule): sum(b.rule == rule for b in self.breaches) for rule in range(1, 7)}
        return {
            "day": self.day,
            "seed": self.seed,
            "kept": not self.breaches,
            "breaches": rules,
            "first_breaches": [b.describe(self.started_at) for b in self.breaches[:10]],
            "tape": self.tape,
            "service": {k: v for k, v in self.service.items() if k != "by_second"},
            "faults": self.faults,
            "gateways": self.gateways,
            "verdicts": {g: r["verdict"]["word"] for g, r in self.quality.items()},
            "exits": self.exits,
            "directory": self.directory,
            "figures_come_from": "simulated peers on loopback",
        }


def free_ports(n: int) -> list[int]:
    """Ports of loopback that were free just now, all different, for streams and datagrams.

    Guards against a gateway that is down for a moment finding its port taken when it comes back: the system
    gives ports from 32768 on to whoever connects, so these lie below. Two stages that are set at once mostly
    draw from ports apart: one's are free until its processes have started. For the same cause none is given
    twice by one process within a while: a stage that draws in two turns had its own port given again."""
    held: list[socket.socket] = []
    chance = random.SystemRandom()
    while len(held) < n:
        stream = socket.socket()
        port = chance.randrange(PORTS[0] + os.getpid() % APART, PORTS[1], APART)
        if port in _DRAWN:
            stream.close()
            continue
        try:
            stream.bind(("127.0.0.1", port))
        except OSError:
            stream.close()
            continue
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            datagrams.bind(("127.0.0.1", stream.getsockname()[1]))
        except OSError:
            stream.close()
            continue
        finally:
            datagrams.close()
        held.append(stream)
    ports = [s.getsockname()[1] for s in held]
    _DRAWN.extend(ports)
    for s in held:
        s.close()
    return ports


def write_key(path: Path) -> Path:
    """A new peer key that only its owner can read."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with open(descriptor, "wb") as file:
        file.write(secrets.token_bytes(32))
    return path


class Stage:
    """The processes of a day: one for media hosts, list and network, one a gateway, one for the viewers."""

    def __init__(
        self, loop: Loop, day: Day, seed: int, directory: Path, record: bool = False, port: int = 0
    ) -> None:
        self.loop, self.day, self.seed, self.directory, self.record = loop, day, seed, directory, record
        if day.shape.gateways > MOST_GATEWAYS or day.shape.hosts > MOST_HOSTS:
            raise BadInput(
                f"{day.name}: shape: {day.shape.gateways} gateways and {day.shape.hosts} media hosts; on "
                f"loopback {MOST_GATEWAYS} and {MOST_HOSTS} at most, the lab plays larger ones"
            )
        self.tapes = directory / "tape"
        key = write_key(directory / "peer.key")
        ports = free_ports(2 + (3 + day.reporting.beside) * day.shape.gateways)
        ports[2] = port or ports[2]
        self.site: Site = site_of(day, seed, ports[1:], str(key))
        self.control = f"127.0.0.1:{ports[0]}"
        (directory / "site.json").write_bytes(msgspec.json.format(msgspec.json.encode(self.site)))
        (directory / "day.json").write_bytes(msgspec.json.format(msgspec.json.encode(day)))
        self.tape = Tape(self.tapes / "stage.tape")
        self.client = Client(loop)
        self.children: dict[str, Child] = {}
        self.lives: dict[str, int] = {}

    def _start(self, name: str, *words: str) -> None:
        logs = self.directory / "logs"
        logs.mkdir(exist_ok=True)
        with open(logs / f"{name}.log", "ab") as out:
            command = [sys.executable, "-m", "ledgehitch", *words]
            child = Child(self.loop, command, name, stdout=subprocess.PIPE, stderr=out.fileno())
        self.children[name] = child
        try:
            with self.loop.deadline(READY_WITHIN):
                line = child.first_line()
        except TimedOut:
            line = b""
        if not line:
            said = (logs / f"{name}.log").read_text(errors="replace").strip().splitlines()[-5:]
            raise DidNotStart(f"{name}: " + ("\n".join(said) or "not ready in time"))

    def start_world(self) -> None:
        d = self.directory
        self._start(
            "world",
            "standin",
            "world",
            "--site",
            f"{d}/site.json",
            "--day",
            f"{d}/day.json",
            "--seed",
            str(self.seed),
            "--control",
            self.control,
            "--tape",
            f"{self.tapes}/world.tape",
        )

    def start_gateway(self, name: str) -> None:
        self.lives[name] = self.lives.get(name, 0) + 1
        words = [
            "serve",
            "--site",
            f"{self.directory}/site.json",
            "--gateway",
            name,
            "--seed",
            str(self.seed * 1000 + self.lives[name]),
            "--state",
            f"{self.directory}/state",
        ]
        if self.record:
            words += ["--record", f"{self.directory}/record/{name}-{self.lives[name]}"]
        self._start(name, *words)
        self.tape.write("gateway", gateway=name, how="up")
        if self.day.reporting.beside and self.lives[name] == 1:
            d = self.directory
            self._start(
                f"{name}-reports",
                "reports",
                "--site",
                f"{d}/site.json",
                "--gateway",
                name,
                "--state",
                f"{d}/state",
            )

    def do(self, step: Step) -> Any:
        """Carries out one step of the day; whom it met."""
        if step.fault is not None:
            return self._fault(step.fault)
        child = self.children[step.gateway]
        if step.do == "kill":
            self.tape.write("gateway", gateway=step.gateway, how="killed")
            child.signal(signal.SIGKILL)
            child.wait()
        elif step.do == "start":
            self.start_gateway(step.gateway)
        elif step.do == "still":
            self.tape.write("gateway", gateway=step.gateway, how="still")
            child.signal(signal.SIGSTOP)
        elif step.do == "go_on":
            self.tape.write("gateway", gateway=step.gateway, how="goes_on")
            child.signal(signal.SIGCONT)
        return [step.gateway]

    def _fault(self, fault: Fault) -> Any:
        body = msgspec.json.encode(fault)
        try:
            with self.loop.deadline(5.0):
                return json.loads(self.client.request(self.control, "POST", "/fault", body=body).body)
        except (TimedOut, ConnectFailed, Interrupted, ValueError) as problem:
            raise DidNotStart(f"the media hosts' side did not take a fault: {problem}") from None

    def state_of(self, gateway: str) -> Any:
        at = next(g.at for g in self.site.gateways if g.name == gateway)
        try:
            with self.loop.deadline(2.0):
                return json.loads(self.client.request(at, "GET", "/state").body)
        except (TimedOut, ConnectFailed, Interrupted, ValueError):
            return None

    def quality_of(self, gateway: str) -> Any:
        at = next(g.reports_at or g.at for g in self.site.gateways if g.name == gateway)
        with self.loop.deadline(5.0):
            return json.loads(self.client.request(at, "GET", "/quality/report").body)

    def end(self) -> dict[str, int]:
        """Ends all processes, ours and by their numbers; their exit codes."""
        self.client.close()
        codes = {}
        waits = {}
        for name, child in self.children.items():
            waits[name] = self.loop.spawn(child.terminate, 3.0, name=f"end {name}")
        for name, task in waits.items():
            codes[name] = task.wait()
        self.tape.close()
        return codes


def rehearse(day: Day, seed: int, directory: Path | None = None, record: bool = False) -> Result:
    """Plays a day in processes of its own and judges the tape."""
    if directory is None:
        directory = Path(tempfile.mkdtemp(prefix="ledgehitch-day-"))
    directory.mkdir(parents=True, exist_ok=True)
    result = Result(day.name, seed, directory=str(directory))
    loop = Loop()
    site = loop.run(_played, loop, day, seed, directory, record, result)
    result.breaches, result.tape = check_tapes(directory / "tape", rule_parameters(site))
    return result


def _played(loop: Loop, day: Day, seed: int, directory: Path, record: bool, result: Result) -> Site:
    stage = Stage(loop, day, seed, directory, record)
    try:
        stage.start_world()
        starts = [
            loop.spawn(stage.start_gateway, g.name, name=f"start {g.name}") for g in stage.site.gateways
        ]
        for task in starts:
            task.wait()
        loop.sleep(day.settle)
        stage._start(
            "viewers",
            "standin",
            "viewers",
            "--site",
            f"{directory}/site.json",
            "--day",
            f"{directory}/day.json",
            "--seed",
            str(seed),
            "--tape",
            f"{stage.tapes}/viewers.tape",
            "--out",
            f"{directory}/service.json",
        )
        started = result.started_at = time.monotonic()
        for step in steps_of(day, stage.site, seed):
            loop.sleep(max(0.0, started + step.at - time.monotonic()))
            if step.do == "start":
                loop.spawn(stage.do, step, name=f"start {step.gateway}")  # others must not wait for it
                continue
            met = stage.do(step)
            kind = step.fault.kind if step.fault else step.do
            result.faults.append({"at": round(time.monotonic() - started, 2), "kind": kind, "met": met})
            log.info("step", kind=kind, met=met)
        with loop.deadline(day.length + 30.0):
            code = stage.children["viewers"].wait()
        if code == 0:
            result.service = json.loads((directory / "service.json").read_text())
        result.gateways = {g.name: stage.state_of(g.name) for g in stage.site.gateways}
        if day.reporting.every:
            loop.sleep(EXCHANGE_INTERVAL_S + 1.0)
            result.quality = {g.name: stage.quality_of(g.name) for g in stage.site.gateways}
    finally:
        result.exits = stage.end()
    _before_and_after(result)
    return stage.site


def _before_and_after(result: Result) -> None:
    """For each fault the service of the 5 s before it and of the 5 s from it on."""
    cells = {int(s): both for s, both in result.service.get("by_second", {}).items()}

    def service(first: int, last: int) -> float | None:
        asked = sum(cells.get(s, (0, 0))[0] for s in range(first, last))
        return round(sum(cells.get(s, (0, 0))[1] for s in range(first, last)) / asked, 3) if asked else None

    for fault in result.faults:
        at = int(fault["at"])
        fault["service_before"], fault["service_after"] = service(at - 5, at), service(at, at + 5)
