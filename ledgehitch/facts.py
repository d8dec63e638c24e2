"""Reads settings into the facts that decisions use: `Ladder`, `Package`, `Fleet`, `Terms`. Free of I/O.

Both entry points use it: the bench adapter with pairs of path and value (`nest_pairs` nests them), the
platform's gateway with nested JSON. Names and units are those of the first message of the simulator's
protocol: times in milliseconds, rates in kB a second. The results are in seconds.

A value that is missing, empty or `-` takes its default. `InvalidSetting` is raised for a value that is
invalid, that contradicts another, or that is missing and has no safe default; it names the key. Settings that
are not read here are ignored.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ledgehitch.interface import Fleet, Ladder, Package, Terms


class InvalidSetting(ValueError):
    """A missing or invalid setting; the text begins with its key."""


Settings = Mapping[str, Any]
# Keys of `familyInfo` whose values are lists with a number for each package.
PER_PACKAGE_KEYS = ("classScale", "floorByClass", "classTop", "seats")


def nest_pairs(pairs: Iterable[tuple[str, str]]) -> dict[str, Any]:
    """Returns pairs such as `categories.0.name`, `clip` as nested objects; indices of lists stay keys."""
    root: dict[str, Any] = {}
    for path, value in pairs:
        *parents, last = path.split(".")
        container = root
        for part in parents:
            child = container.get(part)
            if not isinstance(child, dict):
                # A key may be both a value and an object ("a=" before "a.count=0"): the object wins.
                child = container[part] = {}
            container = child
        if not isinstance(container.get(last), dict):
            container[last] = value
    return root


def _value_at(settings: Settings, path: str) -> Any:
    """Returns the value at a dotted path, or None where there is none."""
    value: Any = settings
    for part in path.split("."):
        if not isinstance(value, Mapping):
            return None
        value = value.get(part)
    return None if value in ("-", "") else value


def _parse_number(path: str, value: Any) -> float:
    try:
        if isinstance(value, bool) or not isinstance(value, (int, float, str)):
            raise ValueError
        number = float(value)
    except (ValueError, OverflowError):
        raise InvalidSetting(f"{path}: {value!r:.60} is not a number") from None
    if not 0 <= number < math.inf:  # NaN compares false and is refused too
        raise InvalidSetting(f"{path}: {value!r:.60} is out of range, expected a finite number from 0 on")
    return number


def _number(settings: Settings, path: str, default: float = 0.0) -> float:
    value = _value_at(settings, path)
    return default if value is None else _parse_number(path, value)


def _integer(settings: Settings, path: str, default: int = 0) -> int:
    try:
        return int(_number(settings, path, default))
    except (ValueError, OverflowError):
        raise InvalidSetting(f"{path}: not a whole number") from None


def _seconds(settings: Settings, path: str) -> float:
    """Returns a setting in milliseconds as seconds."""
    return _number(settings, path) / 1000


def _is_true(value: Any) -> bool:
    return value in (True, "true", "1")


def _flag(settings: Settings, path: str) -> bool:
    return _is_true(_value_at(settings, path))


def _text(settings: Settings, path: str, default: str) -> str:
    value = _value_at(settings, path)
    if value is not None and not isinstance(value, str):
        raise InvalidSetting(f"{path}: {value!r:.60} is not a string")
    return default if value is None else value


def _list_of_values(settings: Settings, path: str) -> list[Any]:
    """Returns plain values, which may be given as a list, joined with commas, or as a single value."""
    value = _value_at(settings, path)
    if value is None:
        return []
    if isinstance(value, str):
        return [part for part in value.split(",") if part not in ("", "-")]
    if isinstance(value, Mapping):
        raise InvalidSetting(f"{path}: expected a list, not an object")
    return list(value) if isinstance(value, Sequence) else [value]


def _list_of_numbers(settings: Settings, path: str) -> list[float]:
    return [_parse_number(path, part) for part in _list_of_values(settings, path)]


def _item_or_default(parts: list[Any], i: int, default: Any) -> Any:
    return parts[i] if i < len(parts) else default


def _list_of_objects(settings: Settings, path: str) -> list[Settings]:
    """Returns a list of objects, from a JSON list or from nested pairs (`count`, then `0`, `1`, ...)."""
    value = _value_at(settings, path)
    if isinstance(value, Mapping):
        value = [value.get(str(i), {}) for i in range(_integer(settings, path + ".count"))]
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(item, Mapping) for item in value):
        raise InvalidSetting(f"{path}: expected a list of objects")
    return value


def read_packages(settings: Settings) -> tuple[Package, ...]:
    columns = {k: _list_of_numbers(settings, "familyInfo." + k) for k in PER_PACKAGE_KEYS}
    live = _list_of_values(settings, "familyInfo.live")
    return tuple(
        Package(
            name=_text(category, "name", ""),
            join_target=_seconds(category, "onTime"),
            patience=_seconds(category, "deadline"),
            value=_number(category, "worth", 1.0),
            effect=_text(category, "effect", "repeatable"),
            key_scope=_text(category, "keyScope", "all"),
            key_window=_seconds(category, "dedupWindow"),
            scale=float(_item_or_default(columns["classScale"], i, 1)),
            floor=int(_item_or_default(columns["floorByClass"], i, 0)),
            top=int(_item_or_default(columns["classTop"], i, 99)),
            seats=int(_item_or_default(columns["seats"], i, 0)),
            live=_is_true(_item_or_default(live, i, False)),
        )
        for i, category in enumerate(_list_of_objects(settings, "categories"))
    )


def read_fleet(settings: Settings) -> Fleet:
    slots = [int(places) for places in _list_of_numbers(settings, "familyInfo.kindSlots")]
    return Fleet(
        cells=_integer(settings, "familyInfo.places"),
        racks=_integer(settings, "familyInfo.racks"),
        link_unit_kb=_number(settings, "familyInfo.linkUnitKb"),
        links_kb=_number(settings, "familyInfo.linksKb"),
        uplink_kb=_number(settings, "familyInfo.uplinkKb"),
        slots=dict(zip(_list_of_values(settings, "kinds"), slots, strict=False)),
        full_from=_number(settings, "familyInfo.fullFrom"),
        join_part=_number(settings, "familyInfo.join", 1.0),
        told_late=_seconds(settings, "familyInfo.toldLate"),
        told_every=_seconds(settings, "familyInfo.toldEvery"),
        load_fields=tuple(_list_of_values(settings, "telemetry.fields")),
        reports=_text(settings, "telemetry.how", "silent"),
    )


def read_terms(settings: Settings) -> Terms:
    limited = _value_at(settings, "rules.extraWindow") is not None
    return Terms(
        zone=_text(settings, "locality", ""),
        ordinal=_integer(settings, "ordinal"),
        gateways=_integer(settings, "peersTotal", 1),
        tune_ins=_integer(settings, "ceilings.tryLimit", 1),
        answer_slack=_seconds(settings, "rules.answerSlack"),
        drain_grace=_seconds(settings, "rules.stopSendingWithin"),
        ask_within=_seconds(settings, "rules.askWithin"),
        on_request=_text(settings, "discovery", "pushed") == "on_request",
        cold_share=_number(settings, "rules.coldShare", 1.0),
        warm_up=_seconds(settings, "rules.warmUp"),
        fall_multiple=_number(settings, "rules.fallMultiple", 1.0),
        fall_after=_seconds(settings, "rules.tipAfter"),
        extra_free=_number(settings, "rules.extraFree") if limited else None,
        extra_ratio=_number(settings, "rules.resendRatio"),
        extra_window=_seconds(settings, "rules.extraWindow"),
        may_probe=_flag(settings, "ceilings.probes"),
        may_tell=_flag(settings, "ceilings.peerMessages"),
        may_advise=_flag(settings, "ceilings.retryAfter"),
        longest_advice=_seconds(settings, "ceilings.maxRetryAfter"),
        cross_price=_number(settings, "prices.crossZone"),
    )


def read_ladder(settings: Settings) -> Ladder:
    kb = tuple(_list_of_numbers(settings, "familyInfo.levelKb"))
    return Ladder(kb, tuple(_list_of_numbers(settings, "familyInfo.rungWorth")))


EFFECTS, SCOPES = ("repeatable", "by_key", "once"), ("all", "zone", "cell")
# Keys without a default where media hosts need time to warm up.
REQUIRED_WITH_WARM_UP = (
    "rules.coldShare",
    "rules.fallMultiple",
    "rules.tipAfter",
    "peersTotal",
    "familyInfo.kindSlots",
)


def _require(condition: bool, path: str, reason: str) -> None:
    """Raises `InvalidSetting` for the key `path` unless the condition holds."""
    if not condition:
        raise InvalidSetting(f"{path}: {reason}")


def _check_ladder(ladder: Ladder) -> None:
    rungs, earns = len(ladder.kb), len(ladder.earns)
    _require(rungs > 0, "familyInfo.levelKb", "missing")
    rising = all(a < b for a, b in zip((0.0, *ladder.kb), ladder.kb, strict=False))
    _require(rising, "familyInfo.levelKb", "rates have to be above 0 and rise")
    _require(earns == rungs, "familyInfo.rungWorth", f"{earns} values for {rungs} rungs")


def _check_packages(settings: Settings, packages: Sequence[Package], rungs: int) -> None:
    _require(len(packages) > 0, "categories", "missing")
    for path in (f"familyInfo.{key}" for key in (*PER_PACKAGE_KEYS, "live")):
        count = len(_list_of_values(settings, path))
        _require(count in (0, len(packages)), path, f"{count} values for {len(packages)} categories")
    for i, (package, category) in enumerate(
        zip(packages, _list_of_objects(settings, "categories"), strict=True)
    ):
        key = f"categories.{i}"
        _require(package.name != "", f"{key}.name", "missing")
        _require(
            package.name not in [other.name for other in packages[:i]],
            f"{key}.name",
            f"{package.name!r:.60} occurs twice",
        )
        _require(package.join_target > 0, f"{key}.onTime", "missing or 0")
        _require(package.patience > 0, f"{key}.deadline", "missing or 0")
        # No default: a package that may be set up only once must not be taken for a repeatable one.
        _require(_value_at(category, "effect") is not None, f"{key}.effect", "missing")
        _require(
            package.effect in EFFECTS,
            f"{key}.effect",
            f"{package.effect!r:.60} is not one of {', '.join(EFFECTS)}",
        )
        if package.effect == "by_key":
            _require(
                _value_at(category, "keyScope") in SCOPES,
                f"{key}.keyScope",
                f"expected one of {', '.join(SCOPES)}",
            )
        _require(package.scale > 0, "familyInfo.classScale", f"0 for {package.name!r:.60}, expected more")
        top = min(package.top, rungs - 1)
        _require(
            package.floor <= top,
            "familyInfo.floorByClass",
            f"{package.floor} for {package.name!r:.60} is above its top, {top}",
        )


def _check_fleet(settings: Settings, fleet: Fleet, terms: Terms) -> None:
    kinds, slots = (
        len(_list_of_values(settings, "kinds")),
        len(_list_of_values(settings, "familyInfo.kindSlots")),
    )
    _require(slots in (0, kinds), "familyInfo.kindSlots", f"{slots} values for {kinds} kinds")
    if terms.warm_up > 0:
        # No defaults: with one left out, a cold media host could get more than it bears.
        for path in REQUIRED_WITH_WARM_UP:
            _require(_value_at(settings, path) is not None, path, "missing, while rules.warmUp is set")
        _require(terms.cold_share <= 1, "rules.coldShare", f"{terms.cold_share:g} is more than 1")
    if _value_at(settings, "peersTotal") is not None:
        _require(
            terms.ordinal < terms.gateways,
            "ordinal",
            f"{terms.ordinal} is too high for {terms.gateways} gateways",
        )
    for path in ("rules.extraFree", "rules.resendRatio"):
        given = _value_at(settings, path) is None or terms.extra_window > 0
        _require(given, "rules.extraWindow", f"missing or 0, while {path} is set")
    how = _text(settings, "discovery", "pushed")
    _require(how in ("pushed", "on_request"), "discovery", f"{how!r:.60} is neither pushed nor on_request")


def read_settings(settings: Settings) -> tuple[Ladder, tuple[Package, ...], Fleet, Terms]:
    """Returns the facts in the order in which `Gateway` takes them; raises `InvalidSetting`."""
    ladder, packages, fleet, terms = (
        read_ladder(settings),
        read_packages(settings),
        read_fleet(settings),
        read_terms(settings),
    )
    _check_ladder(ladder)
    _check_packages(settings, packages, len(ladder.kb))
    _check_fleet(settings, fleet, terms)
    return ladder, packages, fleet, terms


@dataclass(frozen=True)
class ConnectionSettings:
    """How connections to media hosts are made and kept."""

    connect_timeout_s: float
    idle_timeout_s: float  # unused connections are closed after this time
    max_streams: int  # set-ups that one connection carries at a time


def read_connection_settings(settings: Settings) -> ConnectionSettings:
    return ConnectionSettings(
        connect_timeout_s=_seconds(settings, "ceilings.connectTimeout") or 1.0,
        idle_timeout_s=_seconds(settings, "ceilings.connIdle") or 30.0,
        max_streams=max(1, _integer(settings, "ceilings.streamsPerConn", 1)),
    )
