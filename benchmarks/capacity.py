"""Figures for the page on capacity, by size, each part kept as `docs/capacity/kept/PART.json`.

`python -m benchmarks.capacity PART [SIZE ...]`, parts: poll, module, site, membership, owners, budgets,
status, discovery. Every measurement is a process of its own, one after the other. Networks, servers and
gateways are simulated; members, owners, lenders, the module, the checker and the tool are what runs.
"""

import json
import os
import random
import select
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from benchmarks import budgets as lending
from benchmarks import members, owners
from benchmarks.data_path import KEPT, ROOT, memory_of
from ledgehitch import brain, interface
from ledgehitch.config.load import load
from ledgehitch.fleet.carry import Caller
from ledgehitch.fleet.found import Target, count_by_kind
from ledgehitch.gateway.host_list import HostList, HostListUpdate
from ledgehitch.loop import Loop
from ledgehitch.owners.facts import BUDGETS, DUTIES
from ledgehitch.scale.facts import Point, kept_now, load_now, write_kept

HEADS = 28  # bytes of IP and UDP before each datagram
Figures = dict[str, float]
Phases = dict[str, tuple[float, Figures]]  # how long each took, what it gave


def cpu() -> float:
    return time.process_time()


# ---- the loop's poll ---------------------------------------------------------------------------------------

TICK = "import os, sys, time\nwhile True:\n time.sleep(0.005)\n os.write(1, b'x')"


def poll(size: int) -> Phases:
    """A turn of `select.poll` and of `select.epoll` over so many idle connections and one that is ready: when
    it is ready as the call begins, and when the call sleeps until it is (200 times a second)."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    held = []
    for _ in range(size):
        one = socket.create_connection(listener.getsockname())
        held += [one, listener.accept()[0]]
    ready, wake = os.pipe()
    os.write(wake, b"x")
    child = subprocess.Popen([sys.executable, "-c", TICK], stdout=subprocess.PIPE)
    assert child.stdout is not None
    out: Phases = {}
    try:
        for name, make in (("poll", select.poll), ("epoll", select.epoll)):
            for phase, fd in (("ready", ready), ("sleeps", child.stdout.fileno())):
                waiter: Any = make()
                for one in held[::2]:
                    waiter.register(one.fileno(), select.POLLIN)
                waiter.register(fd, select.POLLIN)
                waiter.poll()
                before, began, turns = cpu(), time.monotonic(), 0
                while time.monotonic() - began < 2.0:
                    waiter.poll()
                    if phase == "sleeps":
                        os.read(fd, 4096)
                    turns += 1
                took = time.monotonic() - began
                out[f"{name}-{phase}"] = took, {"cpu_s_per_turn": (cpu() - before) / turns}
    finally:
        child.kill()
        child.wait()
    return out


# ---- the module with sessions that just play ---------------------------------------------------------------


def module(size: int, hosts: int = 14, seconds: int = 20) -> Phases:
    """So many sessions play at one gateway's module; servers say their loads twice a second each."""
    ladder = interface.Ladder((150.0, 300.0, 600.0, 1200.0), (0.25, 0.5, 0.75, 1.0))
    fleet = interface.Fleet(
        cells=hosts,
        racks=2,
        link_unit_kb=1e9,
        uplink_kb=6e9,
        slots={"k": 10**6},
        told_late=0.5,
        told_every=2.0,
        load_fields=("x0", "x1"),
        reports="piggyback",
    )
    gw = brain.Gateway(
        1, 0.0, ladder, (interface.Package("p", 0.8, 3.0),), fleet, interface.Terms(tune_ins=3, warm_up=1.0)
    )
    gw.on_host_list(
        0.0, "total", [interface.Row(f"h{i}", i, 1.0, "k", "", "in_service", 0.0) for i in range(hosts)]
    )
    before = memory_of(os.getpid())
    now, playing = 100.0, 0

    def pull() -> None:
        nonlocal playing
        while (decision := gw.decide(now)) is not None:
            if isinstance(decision, interface.TuneIn):
                gw.on_tune_in_success(now, decision.viewing_id, decision.host, 0, 0.03)
                playing += 1

    for viewing_id in range(1, size + 1):
        now += 0.002
        gw.on_viewing_request(
            now,
            viewing_id,
            "p",
            f"t{viewing_id % 20}",
            (viewing_id % 20) * 3 % hosts,
            max(3, hosts // 5),
            3,
            now + 3.0,
        )
        pull()
    if playing != size:
        raise SystemExit(f"{playing} of {size} play")
    held = memory_of(os.getpid()) - before
    end, spent, step = now + 10.0, 0.0, 0

    def second_half() -> float:
        nonlocal now, step
        began, until = cpu(), now + seconds
        while now < until:
            now += 0.5 / hosts
            gw.on_report(now, 0, f"h{step % hosts}", 3, 0.3)
            gw.on_report(now, 0, f"h{step % hosts}", 4, 0.3)
            step += 1
            pull()
        return cpu() - began

    while now < end:  # what came with the set-ups is over
        second_half()
    spent = second_half()
    return {
        "playing": (
            spent,
            {"cpu_s_per_s": spent / seconds, "memory_bytes": held, "bytes_per_session": held / size},
        )
    }


# ---- checking a site ---------------------------------------------------------------------------------------

HEAD = """\
name: "large"
ladder: [{ kb: 150kB/s, earns: 25% }, { kb: 1200kB/s, earns: 100% }]
packages: recorded: { join_target: 800ms, patience: 3s }
fleet: { link_unit: 6MB/s, slots: { std: 60 } }
racks: [rack=string]: uplink: 14MB/s
pools: all: { first: 0, spread: 3 }
list_at: "127.0.0.1:8081"
include "parts/*.lh"
"""


def site_text(root: Path, gateways: int) -> Path:
    """A site of so many gateways, each with its places; servers and routes as the whole is to have them."""
    hosts = round(gateways * 1400 / 550)
    (root / "parts").mkdir(parents=True)
    at, zone = '"127.0.0.1:{}"', '"z{}"'
    places = [(at.format(i + 1), zone.format(i % 6)) for i in range(max(gateways, hosts))]
    lines = [
        f"gateways: g{i}: {{ at: {at}, members_at: {at}, zone: {zone} }}"
        for i, (at, zone) in enumerate(places[:gateways])
    ]
    lines += [
        f"racks: r{i % 40}: hosts: host-{i}: {{ at: {at}, weight: 2, zone: {zone} }}"
        for i, (at, zone) in enumerate(places[:hosts])
    ]
    lines += [f'routes: route-{i}: {{ titles: ["t{i}"], pool: "all" }}' for i in range(hosts)]
    for i in range(20):
        (root / "parts" / f"p{i:02}.lh").write_text("\n".join(lines[i::20]) + "\n")
    (root / "site.lh").write_text(HEAD)
    return root / "site.lh"


def site(size: int) -> Phases:
    """What `config check` and a reload do: all files read, evaluated and checked."""
    with tempfile.TemporaryDirectory() as place:
        path, before = site_text(Path(place), size), memory_of(os.getpid())
        began = cpu()
        loaded = load(path)
        spent = cpu() - began
        if loaded.mistakes or loaded.site is None or len(loaded.site.gateways) != size:
            raise SystemExit("\n".join(m.describe() for m in loaded.mistakes[:5]) or "no site")
        text = sum(len(t.encode()) for t in loaded.texts.values())
        peak = memory_of(os.getpid()) - before
    return {"check": (spent, {"cpu_s_per_change": spent, "memory_bytes": peak, "text_bytes": text})}


# ---- control in virtual time -------------------------------------------------------------------------------


def each(bytes_: int, messages: int, spent: float, size: int, seconds: float) -> Figures:
    """Of one member and second; `bytes_per_s` as an interface counts them, out and in, with heads. CPU takes
    in what plays the network."""
    by = size * seconds
    return {
        "bytes_out_per_s": bytes_ / by,
        "messages_out_per_s": messages / by,
        "bytes_per_s": 2.0 * (bytes_ + HEADS * messages) / by,
        "cpu_s_per_s": spent / by,
    }


def membership(size: int) -> Phases:
    out: Phases = {}
    began = cpu()
    crowd = members.Crowd(size)

    def phase(name: str, seconds: float) -> None:
        nonlocal began
        crowd.bytes = crowd.messages = 0
        began = cpu()
        crowd.run(seconds)
        out[name] = seconds, each(crowd.bytes, crowd.messages, cpu() - began, size, seconds)

    phase("start-of-all", 25.0)
    crowd.run(75.0)  # guards against news of the start in what is to be quiet: at 400 it is not over in 40 s
    phase("quiet", 30.0)
    dead = list(range(0, size, 6))
    for n in dead:
        crowd.stop(n)
    phase("sixth-killed", 30.0)
    lost = [n for n in range(0, size, 6) if crowd.knows("dead", n) < 0.99][:1]
    out["sixth-killed"][1]["all_known"] = float(not lost)
    return out


class Counted(owners.Crowd):
    messages = 0

    def _carry(self, sender: int, to: int, data: bytes) -> None:
        self.messages += 1
        super()._carry(sender, to, data)


def leases(size: int) -> Phases:
    """All duties, no loss: a start of all at once until each is owned, quiet, an owner killed."""
    began = cpu()
    crowd = Counted(size)
    at = crowd.now
    crowd.until(lambda: all(crowd.owners(d) for d in DUTIES), 120.0)
    took = crowd.now - at
    out: Phases = {
        "start-of-all": (
            took,
            {**each(crowd.bytes, crowd.messages, cpu() - began, size, took), "owned_after_s": took},
        )
    }
    crowd.run(10.0, 0.05)
    crowd.bytes = crowd.messages = 0
    began = cpu()
    crowd.run(20.0, 0.05)
    out["quiet"] = 20.0, each(crowd.bytes, crowd.messages, cpu() - began, size, 20.0)
    out["quiet"][1]["duties"] = float(len(DUTIES))
    owner, at = crowd.owners(DUTIES[0])[0], crowd.now
    crowd.stop(owner)
    crowd.until(lambda: any(n != owner for n in crowd.owners(DUTIES[0])), 120.0)
    out["owner-killed"] = crowd.now - at, {"owned_after_s": crowd.now - at}
    return out


def budgets(size: int) -> Phases:
    """One budget, every gateway asks for more than there is; then a third is killed."""
    some = lending.Sharing(size, 2.0 * size, 0.1, 1)
    some.settled()
    some.bytes, some.seconds = 0, 0.0
    some.run(20.0, 0.05)
    out: Phases = {
        "quiet": (
            20.0,
            {
                "bytes_out_per_s": some.bytes / size / 20.0,
                "lender_cpu_s_per_s": some.seconds / 20.0,
                "largest_message_bytes": float(some.largest),
            },
        )
    }
    lender = some.owners(BUDGETS)[0]
    for n in [n for n in range(size) if n != lender][: size // 3]:
        some.stop(n)
    at = some.now
    some.run(25.0, 0.05)
    again = next((s / 2 for s in range(46) if some.in_use(at + s / 2, at + s / 2 + 2) >= 0.93), None)
    figures = {"in_use_at_end": some.in_use(at + 20.0, at + 25.0), "most_parts": some.over}
    out["third-killed"] = 25.0, figures | ({"in_use_again_s": again} if again is not None else {})
    return out


# ---- the tool and the list ---------------------------------------------------------------------------------


def status(size: int) -> Phases:
    """`fleet status` asks so many gateways: stand-ins in one process that answer at once."""
    with tempfile.TemporaryDirectory() as directory:
        words = [sys.executable, "-m", "benchmarks.fleet_many", "stand", directory, str(size), "0"]
        child = subprocess.Popen(words, stdout=subprocess.PIPE, cwd=ROOT)
        assert child.stdout is not None
        child.stdout.readline()
        try:
            loop = Loop()
            targets = [Target(f"g{n}", f"unix:{directory}/g{n}.admin") for n in range(size)]
            before, began = cpu(), time.monotonic()
            found = loop.run(lambda: Caller(loop).ask_all(targets))
            took, spent = time.monotonic() - began, cpu() - before
        finally:
            child.kill()
            child.wait()
    answered = count_by_kind(found).get("answered", 0)
    return {"status": (took, {"seconds": took, "cpu_s": spent, "answered": answered})}


def discovery(size: int) -> Phases:
    """A whole list of so many rows: its bytes, what the service spends to write it, a gateway to read it."""
    lines = [
        {
            "host": f"host-{n}",
            "at": f"10.{n >> 8 & 255}.{n & 255}.1:5060",
            "cell": n,
            "weight": 2.0,
            "kind": "std",
            "zone": f"z{n % 6}",
            "state": "in_service",
            "started": 1000.0 + n,
        }
        for n in range(size)
    ]
    turns, before = 20, cpu()
    for _ in range(turns):
        data = msgspec.json.encode({"epoch": "e", "version": 1, "rows": lines})
    wrote = (cpu() - before) / turns
    fleet = interface.Fleet(
        cells=size,
        racks=size // 7 + 1,
        link_unit_kb=1e6,
        uplink_kb=6e6,
        slots={"std": 60},
        told_late=0.5,
        told_every=2.0,
        load_fields=("x0", "x1"),
        reports="piggyback",
    )
    gw = brain.Gateway(
        1,
        0.0,
        interface.Ladder((150.0, 300.0), (0.5, 1.0)),
        (interface.Package("p", 0.8, 3.0),),
        fleet,
        interface.Terms(),
    )
    roll, before = HostList(), cpu()
    for n in range(turns):
        rows = roll.apply_full_list(msgspec.json.decode(data, type=HostListUpdate)) or ()
        gw.on_host_list(10.0 + n, "total", [line.to_row(0.0) for line in rows])
        while gw.decide(10.0 + n) is not None:
            pass
    return {
        "whole-list": (
            turns * wrote,
            {"list_bytes": len(data), "write_cpu_s": wrote, "read_cpu_s": (cpu() - before) / turns},
        )
    }


# ---- all ---------------------------------------------------------------------------------------------------

Part = tuple[str, str, str, str, list[int], Callable[[int], Phases]]
PARTS: dict[str, Part] = {  # role, mechanism, what is counted, how it is measured, sizes
    "poll": ("data-path", "poll", "connections", "call", [500, 1000, 2000, 4000, 6000, 9000], poll),
    "module": ("data-path", "module", "sessions", "call", [1000, 4000, 9000, 20000], module),
    "site": ("control", "configuration", "gateways", "call", [50, 200, 550], site),
    "membership": ("control", "membership", "members", "virtual", [100, 200, 400], membership),
    "owners": ("control", "owners", "members", "virtual", [100, 200, 400], leases),
    "budgets": ("owner", "budgets", "members", "virtual", [100, 200, 400], budgets),
    "status": ("operator", "fleet-status", "gateways", "call", [100, 300, 550], status),
    "discovery": ("discovery", "list", "rows", "call", [140, 500, 1400], discovery),
}


def main(name: str, sizes: list[int]) -> None:
    role, mechanism, unit, kind, usual, _ = PARTS[name]
    points = []
    for size in sizes or usual:
        command = [sys.executable, "-m", "benchmarks.capacity", "one", name, str(size)]
        done = subprocess.run(command, stdout=subprocess.PIPE, check=True, cwd=ROOT)
        for phase, (seconds, figures) in json.loads(done.stdout).items():
            rounded = {f: float(f"{x:.5g}") for f, x in figures.items()}
            told = {
                "role": role,
                "mechanism": mechanism,
                "phase": phase,
                "size": size,
                "size_unit": unit,
                "kind": kind,
                "seconds": round(seconds, 3),
                "load1": load_now(),
                "figures": rounded,
            }
            points.append(msgspec.convert(told, Point))
            print(json.dumps({"size": size, "phase": phase, **rounded}), flush=True)
    words = " ".join(["python -m benchmarks.capacity", name, *map(str, sizes or usual)])
    write_kept(KEPT / f"{name}.json", kept_now(words, points))


if __name__ == "__main__":
    if sys.argv[1] == "one":
        random.seed(1)
        print(json.dumps(PARTS[sys.argv[2]][5](int(sys.argv[3]))))
    else:
        main(sys.argv[1], [int(word) for word in sys.argv[2:]])
