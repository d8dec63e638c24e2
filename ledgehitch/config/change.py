"""Differences between two versions of a configuration: when each takes effect, what it may break. No I/O.

`changes` compares two versions. `Reloads` decides what a gateway does with a version that it receives. It
runs one version, may have received a newer one, and does not return to an older one by itself.
"""

import fnmatch
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

Effect = Literal["at once", "new viewings", "restart"]
# By path; the first match counts. What the decision module gets at start takes effect at its next start.
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
    """One path that differs. None means absent. `risk` says what the change may break, empty if nothing."""

    path: str
    before: Any
    after: Any
    effect: Effect
    risk: str = ""


def leaves(data: Any, path: tuple[str, ...] = ()) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Yields each plain value with its path. Empty records and lists count as plain values."""
    if isinstance(data, Mapping) and data:
        for name, value in data.items():
            yield from leaves(value, (*path, str(name)))
    elif isinstance(data, list) and data:
        for i, value in enumerate(data):
            yield from leaves(value, (*path, str(i)))
    else:
        yield path, data


def changes(before: Any, after: Any, viewings_by_title: Mapping[str, int] | None = None) -> list[Change]:
    """Returns the differences by path. `viewings_by_title` is used for the risks."""
    old, new = dict(leaves(before)), dict(leaves(after))
    renamed_racks = _renamed(before, after)
    found = []
    for path in [*old, *(p for p in new if p not in old)]:
        if path in old and path in new and _is_same_value(old[path], new[path]):
            continue
        name = ".".join(path)
        effect = next(e for pattern, e in EFFECTS if fnmatch.fnmatchcase(name, pattern))
        if path[0] == "racks" and len(path) > 1 and path[1] in renamed_racks:
            found.append(Change(name, old.get(path), new.get(path), "at once"))
            continue
        risk = _risk(path, old.get(path), new.get(path), before, after, viewings_by_title or {})
        found.append(Change(name, old.get(path), new.get(path), effect, risk))
    return found


def _renamed(before: Any, after: Any) -> set[str]:
    """Returns the old and new names of racks that were only renamed. Their position is unchanged."""
    old, new = before.get("racks") or {}, after.get("racks") or {}
    if not isinstance(old, Mapping) or not isinstance(new, Mapping) or len(old) != len(new):
        return set()
    pairs = zip(old.items(), new.items(), strict=True)
    return {name for (a, x), (b, y) in pairs if a != b and x == y for name in (a, b)}


def _is_same_value(a: Any, b: Any) -> bool:
    return bool(a == b) and isinstance(a, bool) == isinstance(b, bool)


def apply_changes(before: Any, found: list[Change]) -> dict[str, Any]:
    """Returns the leaves of `before` with the changes applied, which are the leaves of `after`."""
    flat = {".".join(p): v for p, v in leaves(before)}
    for change in found:
        flat.pop(change.path, None)
        if change.after is not None:
            flat[change.path] = change.after
    return flat


def _risk(
    path: tuple[str, ...], old: Any, new: Any, before: Any, after: Any, viewings_by_title: Mapping[str, int]
) -> str:
    if path[0] == "titles" and new is None and path[1] not in (after.get("titles") or {}):
        watching = (
            f", {viewings_by_title[path[1]]} viewings hold it now" if viewings_by_title.get(path[1]) else ""
        )
        return f"{path[1]!r} is not placed any more: requests for it get 404{watching}"
    if path[0] == "racks" and new is None and "hosts" in path:
        return "one media host fewer holds the titles of its cell; the cells after it move"
    if path[-1] == "seats" and isinstance(new, (int, float)) and new and (not old or new < old):
        return "gateways that hold more keep them and take no more until they are below it"
    if (
        path[-1] == "patience"
        and isinstance(new, (int, float))
        and isinstance(old, (int, float))
        and new < old
    ):
        return "viewers are answered sooner, more of them blocked"
    if path[0] == "door" and isinstance(new, (int, float)) and 0 < new < (old or float("inf")):
        return "clients over the limit are refused at once; admitted viewings stay"
    if path[-1] == "floor" and isinstance(new, (int, float)) and new > (old or 0):
        return "more is blocked where links are full"
    if path[-1] in ("fall_multiple", "cold_share", "warm_up") and path[0] == "terms":
        return "rule 4 depends on it: wrong values overload cold media hosts"
    if path[0] == "gateways" and path[-1] == "gone" and new:
        return "it must not run: others stop counting its vote and lend its share; restart all others"
    if path[0] == "regions" and path[-1] == "gone" and new:
        return "none of its gateways may run: the others get its share; restart all others"
    if path[0] == "regions":
        return "owners and shares of regions change: restart all gateways, few at a time"
    if path[0] == "gateways" and (old is None or new is None):
        return "every gateway's share of the fleet's limits changes: restart all of them, few at a time"
    return ""


# ---- reloads -----------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Version:
    """A complete configuration. `serial` increases with each version that is submitted."""

    serial: int
    digest: str
    data: Any = field(compare=False, hash=False)


@dataclass(frozen=True)
class Apply:
    """Use this version for new viewings.

    `restart_paths`: changes that need a restart. `steps`: the changes of titles in the order to apply:
    placed, moved, withdrawn.
    """

    version: Version
    restart_paths: tuple[str, ...]
    steps: tuple[tuple[str, str], ...] = field(default=(), compare=False)


@dataclass(frozen=True)
class Keep:
    """Store this version as the last good one."""

    version: Version


@dataclass(frozen=True)
class Refuse:
    """Reject this version and keep the running one."""

    digest: str
    reason: str


Decision = Apply | Keep | Refuse


def _gateway_names(data: Any) -> list[str]:
    """Returns the gateways' names, from a mapping by name (the language) or a list of records (JSON)."""
    gateways = data.get("gateways", {})
    return list(gateways) if isinstance(gateways, dict) else [g["name"] for g in gateways]


def placement_steps(before: Any, after: Any) -> tuple[tuple[str, str], ...]:
    """Returns the changes of titles in a safe order: additions first, withdrawals last.

    So no title that both versions place is missing in between.
    """
    old, new = _title_placements(before), _title_placements(after)
    steps = [("place", t) for t in sorted(new.keys() - old.keys())]
    steps += [("move", t) for t in sorted(new.keys() & old.keys()) if new[t] != old[t]]
    steps += [("withdraw", t) for t in sorted(old.keys() - new.keys())]
    return tuple(steps)


def _title_placements(data: Any) -> dict[str, Any]:
    """Returns the placement of each title: its own entry, or the pool of its route."""
    placements = dict(data.get("titles", {}))
    for route in data.get("routes", {}).values():
        for title in route["titles"]:
            placements[title] = data["pools"].get(route["pool"])
    return placements


class Reloads:
    """Tracks the running and the newest version of one gateway and decides how to get from one to the other.

    - A version with mistakes is refused as a whole, with the checker's messages.
    - Of two concurrent reloads the later serial wins: an earlier one that arrives afterwards is refused.
    - A version without this gateway is refused while the gateway has viewings, since it must be drained
      first.
    - During a drain nothing is applied. The newest version is stored and takes effect if the drain is
      cancelled.
    - A version with the running digest is neither applied nor refused, since nothing changes.
    - A change that is reverted before it was applied has no effect.
    """

    def __init__(self, running: Version, gateway: str = "") -> None:
        self.running, self.gateway = running, gateway
        self.newest = running
        self.draining = False
        self.refused = 0
        self.last_refusal = ""
        self._start_data = running.data  # configuration that the decision module got at start
        self._pending: list[Decision] = []

    def on_version(self, version: Version, mistakes: list[str], viewing_count: int = 0) -> None:
        """Handles a new version and its mistakes. `viewing_count`: current viewings of this gateway."""
        if version.serial <= self.newest.serial:
            self._refuse(
                version.digest,
                f"it is older than what was told already ({version.serial} <= {self.newest.serial})",
            )
        elif mistakes:
            self._refuse(version.digest, "; ".join(mistakes[:3]))
        elif viewing_count and self.gateway and self.gateway not in _gateway_names(version.data):
            self._refuse(
                version.digest,
                f"it has no gateway {self.gateway}, which holds {viewing_count} viewings: drain it first",
            )
        else:
            self.newest = version
            self._apply_newest()

    def on_drain(self, draining: bool) -> None:
        """Handles the start or the cancellation of a drain."""
        self.draining = draining
        self._apply_newest()

    def _refuse(self, digest: str, reason: str) -> None:
        self.refused += 1
        self.last_refusal = reason
        self._pending.append(Refuse(digest, reason))

    def _apply_newest(self) -> None:
        if self.draining:
            return
        if self.newest.digest == self.running.digest:
            self.running = self.newest
            return
        steps = placement_steps(self.running.data, self.newest.data)
        self.running = self.newest
        self._pending += [Apply(self.newest, self.pending_restart(), steps), Keep(self.newest)]

    def pending_restart(self) -> tuple[str, ...]:
        """Returns the paths whose running value takes effect only after a restart."""
        found = changes(self._start_data, self.running.data)
        return tuple(c.path for c in found if c.effect == "restart")

    def decide(self) -> Decision | None:
        """Returns the next decision to carry out, or None."""
        return self._pending.pop(0) if self._pending else None

    def state(self) -> dict[str, Any]:
        """Returns the state of reloads for the admin API."""
        return {
            "runs": self.running.digest,
            "told": self.newest.digest,
            "lags": self.newest.digest != self.running.digest,
            "waits_for_restart": list(self.pending_restart()),
            "refused": self.refused,
            "last_refusal": self.last_refusal,
        }
