"""Starts the processes of a day, plays the day, ends the processes and checks the tape."""

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

MAX_GATEWAYS, MAX_HOSTS = 64, 400  # of a day on loopback, where each gateway is a process
PORT_RANGE = 10_240, 32_768  # below the ephemeral ports of the system
PORT_STRIDE = 8  # number of processes that can allocate ports from disjoint sets
_RECENT_PORTS: deque[int] = deque(maxlen=1000)  # last ports returned in this process
READY_TIMEOUT_S = 20.0  # for a process to report that it is ready
log = structlog.get_logger("rehearsal")


class DidNotStart(BadInput):
    """A process of the day did not start; the message ends with the last lines of its log."""


@dataclass
class Result:
    """The outcome of a day."""

    day: str
    seed: int
    service: dict[str, Any] = field(default_factory=dict)
    breaches: list[Breach] = field(default_factory=list)
    tape: dict[str, int] = field(default_factory=dict)
    faults: list[dict[str, Any]] = field(default_factory=list)
    gateways: dict[str, Any] = field(default_factory=dict)
    exits: dict[str, int] = field(default_factory=dict)
    quality: dict[str, Any] = field(default_factory=dict)  # report of each gateway, if players send reports
    started_at: float = 0.0
    directory: str = ""

    def summary(self) -> dict[str, Any]:
        """Returns the outcome as it is printed: breaches by rule, service, faults and exit codes."""
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


def free_ports(count: int) -> list[int]:
    """Returns `count` different loopback ports that are free for both TCP and UDP.

    The ports lie below 32768, where the ephemeral range of the system begins, so that no outgoing connection
    takes the port of a gateway while it restarts. A port stays free until the process it is meant for has
    started. Therefore processes that allocate concurrently mostly use disjoint sets of ports, and one process
    does not return the same port again among its last 1000: a stage that allocates in two steps could
    otherwise get one of its own ports twice.
    """
    bound: list[socket.socket] = []
    generator = random.SystemRandom()
    while len(bound) < count:
        stream = socket.socket()
        port = generator.randrange(PORT_RANGE[0] + os.getpid() % PORT_STRIDE, PORT_RANGE[1], PORT_STRIDE)
        if port in _RECENT_PORTS:
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
        bound.append(stream)
    ports = [stream.getsockname()[1] for stream in bound]
    _RECENT_PORTS.extend(ports)
    for stream in bound:
        stream.close()
    return ports


def write_key(path: Path) -> Path:
    """Writes a new random peer key to a file that only its owner can read, and returns the path."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with open(descriptor, "wb") as file:
        file.write(secrets.token_bytes(32))
    return path


class Stage:
    """The processes of a day.

    One process plays the media hosts, the list service and the network, one plays the viewers, and each
    gateway is a process of its own.
    """

    def __init__(
        self, loop: Loop, day: Day, seed: int, directory: Path, record: bool = False, port: int = 0
    ) -> None:
        self.loop, self.day, self.seed, self.directory, self.record = loop, day, seed, directory, record
        if day.shape.gateways > MAX_GATEWAYS or day.shape.hosts > MAX_HOSTS:
            raise BadInput(
                f"{day.name}: shape: {day.shape.gateways} gateways and {day.shape.hosts} media hosts; on "
                f"loopback {MAX_GATEWAYS} and {MAX_HOSTS} are allowed at most; use the lab for larger days"
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

    def _start(self, name: str, *arguments: str) -> None:
        logs = self.directory / "logs"
        logs.mkdir(exist_ok=True)
        with open(logs / f"{name}.log", "ab") as out:
            command = [sys.executable, "-m", "ledgehitch", *arguments]
            child = Child(self.loop, command, name, stdout=subprocess.PIPE, stderr=out.fileno())
        self.children[name] = child
        try:
            with self.loop.deadline(READY_TIMEOUT_S):
                line = child.first_line()
        except TimedOut:
            line = b""
        if not line:
            last_lines = (logs / f"{name}.log").read_text(errors="replace").strip().splitlines()[-5:]
            raise DidNotStart(f"{name}: " + ("\n".join(last_lines) or "not ready in time; its log is empty"))

    def start_world(self) -> None:
        directory = self.directory
        self._start(
            "world",
            "standin",
            "world",
            "--site",
            f"{directory}/site.json",
            "--day",
            f"{directory}/day.json",
            "--seed",
            str(self.seed),
            "--control",
            self.control,
            "--tape",
            f"{self.tapes}/world.tape",
        )

    def start_gateway(self, name: str) -> None:
        self.lives[name] = self.lives.get(name, 0) + 1
        arguments = [
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
            arguments += ["--record", f"{self.directory}/record/{name}-{self.lives[name]}"]
        self._start(name, *arguments)
        self.tape.write("gateway", gateway=name, how="up")
        if self.day.reporting.beside and self.lives[name] == 1:
            directory = self.directory
            self._start(
                f"{name}-reports",
                "reports",
                "--site",
                f"{directory}/site.json",
                "--gateway",
                name,
                "--state",
                f"{directory}/state",
            )

    def do(self, step: Step) -> Any:
        """Carries out one step of the day and returns the names of the processes or hosts affected."""
        if step.fault is not None:
            return self._inject_fault(step.fault)
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

    def _inject_fault(self, fault: Fault) -> Any:
        body = msgspec.json.encode(fault)
        try:
            with self.loop.deadline(5.0):
                return json.loads(self.client.request(self.control, "POST", "/fault", body=body).body)
        except (TimedOut, ConnectFailed, Interrupted, ValueError) as problem:
            raise DidNotStart(f"the media host stand-ins did not accept a fault: {problem}") from None

    def state_of(self, gateway: str) -> Any:
        """Returns the state that a gateway reports, or None if it does not answer within 2 s."""
        address = next(g.at for g in self.site.gateways if g.name == gateway)
        try:
            with self.loop.deadline(2.0):
                return json.loads(self.client.request(address, "GET", "/state").body)
        except (TimedOut, ConnectFailed, Interrupted, ValueError):
            return None

    def quality_of(self, gateway: str) -> Any:
        """Returns the quality report of a gateway. Raises `TimedOut` after 5 s without an answer."""
        address = next(g.reports_at or g.at for g in self.site.gateways if g.name == gateway)
        with self.loop.deadline(5.0):
            return json.loads(self.client.request(address, "GET", "/quality/report").body)

    def end(self) -> dict[str, int]:
        """Terminates all processes that this stage started and returns their exit codes by name."""
        self.client.close()
        exit_codes = {}
        terminations = {}
        for name, child in self.children.items():
            terminations[name] = self.loop.spawn(child.terminate, 3.0, name=f"end {name}")
        for name, task in terminations.items():
            exit_codes[name] = task.wait()
        self.tape.close()
        return exit_codes


def rehearse(day: Day, seed: int, directory: Path | None = None, record: bool = False) -> Result:
    """Plays a day in new processes and checks the tape. Without `directory`, a temporary one is created."""
    if directory is None:
        directory = Path(tempfile.mkdtemp(prefix="ledgehitch-day-"))
    directory.mkdir(parents=True, exist_ok=True)
    result = Result(day.name, seed, directory=str(directory))
    loop = Loop()
    site = loop.run(_play, loop, day, seed, directory, record, result)
    result.breaches, result.tape = check_tapes(directory / "tape", rule_parameters(site))
    return result


def _play(loop: Loop, day: Day, seed: int, directory: Path, record: bool, result: Result) -> Site:
    stage = Stage(loop, day, seed, directory, record)
    try:
        stage.start_world()
        start_tasks = [
            loop.spawn(stage.start_gateway, g.name, name=f"start {g.name}") for g in stage.site.gateways
        ]
        for task in start_tasks:
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
                loop.spawn(stage.do, step, name=f"start {step.gateway}")  # later steps do not wait for it
                continue
            affected = stage.do(step)
            kind = step.fault.kind if step.fault else step.do
            result.faults.append({"at": round(time.monotonic() - started, 2), "kind": kind, "met": affected})
            log.info("step", kind=kind, met=affected)
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
    _add_service_around_faults(result)
    return stage.site


def _add_service_around_faults(result: Result) -> None:
    """Adds to each fault the share of the requested value earned in the 5 s before and after its start."""
    cells = {int(second): counts for second, counts in result.service.get("by_second", {}).items()}

    def service(first: int, end: int) -> float | None:
        requested = sum(cells.get(second, (0, 0))[0] for second in range(first, end))
        return (
            round(sum(cells.get(second, (0, 0))[1] for second in range(first, end)) / requested, 3)
            if requested
            else None
        )

    for fault in result.faults:
        at = int(fault["at"])
        fault["service_before"], fault["service_after"] = service(at - 5, at), service(at, at + 5)
