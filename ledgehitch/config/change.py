"""What differs in meaning between two versions, when each change takes effect, and what it may break.

All decided here, free of I/O. `changes` compares; `Reloads` decides what a gateway does with a version that
it is handed: it runs one version, may be told another, and never goes back to an older one unasked.
"""

import fnmatch
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

Effect = Literal["at once", "new viewings", "restart"]
# By path, first match counts. What the module is told at start takes effect with its next start.
EFFECTS: tuple[tuple[str, Effect], ...] = (
    ("titles*", "new viewings"),
    ("routes*", "new viewings"),
    ("pools*", "new viewings"),
    ("racks.*.hosts.*.at", "at once"),
    ("name", "at once"),
    ("door.client_*", "at once"),
    ("door.package_rates*", "at once"),
    ("door.set_ups", "at once"),
    ("gateways.*.peer*", "restart"),
    ("gateways.*.rack", "at once"),
    ("*", "restart"),
)


@dataclass(frozen=True)
class Change:
    """One place that differs; None stands for not there. `risk` says what it may break, empty if nothing."""

    path: str
    before: Any
    after: Any
    effect: Effect
    risk: str = ""


def leaves(data: Any, path: tuple[str, ...] = ()) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Every plain value with its path; empty records and lists stand for themselves."""
    if isinstance(data, Mapping) and data:
        for name, value in data.items():
            yield from leaves(value, (*path, str(name)))
    elif isinstance(data, list) and data:
        for i, value in enumerate(data):
            yield from leaves(value, (*path, str(i)))
    else:
        yield path, data


def changes(before: Any, after: Any, held: Mapping[str, int] | None = None) -> list[Change]:
    """What differs, by path. `held`: viewings held now by title, for what a change may break."""
    old, new = dict(leaves(before)), dict(leaves(after))
    called_anew = _renamed(before, after)
    found = []
    for path in [*old, *(p for p in new if p not in old)]:
        if path in old and path in new and _same(old[path], new[path]):
            continue
        name = ".".join(path)
        effect = next(e for pattern, e in EFFECTS if fnmatch.fnmatchcase(name, pattern))
        if path[0] == "racks" and len(path) > 1 and path[1] in called_anew:
            found.append(Change(name, old.get(path), new.get(path), "at once"))
            continue
        risk = _risk(path, old.get(path), new.get(path), before, after, held or {})
        found.append(Change(name, old.get(path), new.get(path), effect, risk))
    return found


def _renamed(before: Any, after: Any) -> set[str]:
    """Names of racks, old and new, that differ in nothing but the name: they stand where they stood."""
    old, new = before.get("racks") or {}, after.get("racks") or {}
    if not isinstance(old, Mapping) or not isinstance(new, Mapping) or len(old) != len(new):
        return set()
    pairs = zip(old.items(), new.items(), strict=True)
    return {name for (a, x), (b, y) in pairs if a != b and x == y for name in (a, b)}


def _same(a: Any, b: Any) -> bool:
    return bool(a == b) and isinstance(a, bool) == isinstance(b, bool)


def applied(before: Any, found: list[Change]) -> dict[str, Any]:
    """The leaves of `before` with the changes made: the leaves of `after`."""
    flat = {".".join(p): v for p, v in leaves(before)}
    for change in found:
        flat.pop(change.path, None)
        if change.after is not None:
            flat[change.path] = change.after
    return flat


def _risk(path: tuple[str, ...], old: Any, new: Any, before: Any, after: Any, held: Mapping[str, int]) -> str:
    if path[0] == "titles" and new is None and path[1] not in (after.get("titles") or {}):
        watching = f", {held[path[1]]} viewings hold it now" if held.get(path[1]) else ""
        return f"{path[1]!r} is not placed any more: who asks for it gets 404{watching}"
    if path[0] == "racks" and new is None and "hosts" in path:
        return "one media host fewer holds the titles of its cell; the cells after it move"
    if path[-1] == "seats" and isinstance(new, (int, float)) and new and (not old or new < old):
        return "gateways that hold more keep them and take none until they are under it"
    if (
        path[-1] == "patience"
        and isinstance(new, (int, float))
        and isinstance(old, (int, float))
        and new < old
    ):
        return "viewers are answered sooner, more of them blocked"
    if path[0] == "door" and isinstance(new, (int, float)) and 0 < new < (old or float("inf")):
        return "who is over it is turned away at once; what is let in already stays"
    if path[-1] == "floor" and isinstance(new, (int, float)) and new > (old or 0):
        return "more is blocked where links are full"
    if path[-1] in ("fall_multiple", "cold_share", "warm_up") and path[0] == "terms":
        return "rule 4 is reckoned by it: wrong figures push cold media hosts over"
    if path[0] == "gateways" and path[-1] == "gone" and new:
        return "it must not run: others stop counting its vote and lend its part; restart all others"
    if path[0] == "regions" and path[-1] == "gone" and new:
        return "none of its gateways may run: the others get its share; restart all others"
    if path[0] == "regions":
        return "owners and shares of regions change: restart all gateways, few at a time"
    if path[0] == "gateways" and (old is None or new is None):
        return "every gateway's part of shared limits changes: restart all of them, few at a time"
    return ""


# ---- in service --------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Version:
    """A whole, checked configuration. `serial` rises with each that is handed in."""

    serial: int
    digest: str
    data: Any = field(compare=False, hash=False)


@dataclass(frozen=True)
class Apply:
    """Make this version the one that new viewings go by. `waits`: changes that need a restart. `steps`: what
    is done, in this order: titles placed, titles moved, titles withdrawn."""

    version: Version
    waits: tuple[str, ...]
    steps: tuple[tuple[str, str], ...] = field(default=(), compare=False)


@dataclass(frozen=True)
class Keep:
    """Store this version as the last good one."""

    version: Version


@dataclass(frozen=True)
class Refuse:
    """This version is not applied; the one that runs stays."""

    digest: str
    reason: str


Decision = Apply | Keep | Refuse


def _gateways(data: Any) -> list[str]:
    """Names of the gateways, in the language's form (by name) or JSON's (a list of records)."""
    some = data.get("gateways", {})
    return list(some) if isinstance(some, dict) else [g["name"] for g in some]


def placed(before: Any, after: Any) -> tuple[tuple[str, str], ...]:
    """What happens to titles, in the order in which it is safe: first what is added, last what is withdrawn,
    so that none that both versions place is missing in between."""
    old, new = _titles(before), _titles(after)
    steps = [("place", t) for t in sorted(new.keys() - old.keys())]
    steps += [("move", t) for t in sorted(new.keys() & old.keys()) if new[t] != old[t]]
    steps += [("withdraw", t) for t in sorted(old.keys() - new.keys())]
    return tuple(steps)


def _titles(data: Any) -> dict[str, Any]:
    """Where each title lies: its own entry, or the pool of its route."""
    held = dict(data.get("titles", {}))
    for route in data.get("routes", {}).values():
        for title in route["titles"]:
            held[title] = data["pools"].get(route["pool"])
    return held


class Reloads:
    """What one gateway runs, what it was told, and what it does about the difference.

    - A version that does not check is refused whole, with the checker's words.
    - Of two that overlap, the one handed in last counts: an earlier one that comes later is refused.
    - One without this gateway is refused while viewings are held here: it is drained first.
    - During a drain nothing is applied; the newest is told and counts if the drain is taken back.
    - The digest that runs already is neither applied nor refused: there is nothing to do.
    - A change that is taken back before it was applied leaves nothing behind.
    """

    def __init__(self, running: Version, gateway: str = "") -> None:
        self.running, self.gateway = running, gateway
        self.newest = running
        self.draining = False
        self.refused = 0
        self.last_refusal = ""
        self._started = running.data  # what the module was told at start
        self._due: list[Decision] = []

    def on_version(self, version: Version, mistakes: list[str], held: int = 0) -> None:
        """A version, with what the checker says of it; `held`: viewings of this gateway now."""
        if version.serial <= self.newest.serial:
            self._refuse(
                version.digest,
                f"it is older than what was told already ({version.serial} <= {self.newest.serial})",
            )
        elif mistakes:
            self._refuse(version.digest, "; ".join(mistakes[:3]))
        elif held and self.gateway and self.gateway not in _gateways(version.data):
            self._refuse(
                version.digest,
                f"it has no gateway {self.gateway}, which holds {held} viewings: drain it first",
            )
        else:
            self.newest = version
            self._settle()

    def on_drain(self, draining: bool) -> None:
        self.draining = draining
        self._settle()

    def _refuse(self, digest: str, reason: str) -> None:
        self.refused += 1
        self.last_refusal = reason
        self._due.append(Refuse(digest, reason))

    def _settle(self) -> None:
        if self.draining:
            return
        if self.newest.digest == self.running.digest:
            self.running = self.newest
            return
        steps = placed(self.running.data, self.newest.data)
        self.running = self.newest
        self._due += [Apply(self.newest, self.waits(), steps), Keep(self.newest)]

    def waits(self) -> tuple[str, ...]:
        """Paths whose newest value the module will only know after a restart."""
        found = changes(self._started, self.running.data)
        return tuple(c.path for c in found if c.effect == "restart")

    def decide(self) -> Decision | None:
        return self._due.pop(0) if self._due else None

    def state(self) -> dict[str, Any]:
        return {
            "runs": self.running.digest,
            "told": self.newest.digest,
            "lags": self.newest.digest != self.running.digest,
            "waits_for_restart": list(self.waits()),
            "refused": self.refused,
            "last_refusal": self.last_refusal,
        }
