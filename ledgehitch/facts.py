"""Settings into the facts that decisions use: `Ladder`, `Package`, `Fleet`, `Terms`. Free of I/O.

Both doors derive them here: the bench adapter from pairs of path and value (`nested` folds them), the
platform's gateway from nested JSON. Names and units are those of the first message of the simulator's wire:
times in milliseconds, rates in kB a second; what comes out is in seconds. A value that is missing, empty or
`-` is its default; one that is not what it should be, that contradicts another or has no safe default raises
`InvalidSetting`, which names its key. Settings that nothing here reads are ignored.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ledgehitch.interface import Fleet, Ladder, Package, Terms


class InvalidSetting(ValueError):
    """A setting that cannot be read; the text names its key."""


Conf = Mapping[str, Any]
BY_CLASS = ("classScale", "floorByClass", "classTop", "seats")  # lists of numbers, one for each class


def nest_pairs(pairs: Iterable[tuple[str, str]]) -> dict[str, Any]:
    """Pairs such as `categories.0.name`, `clip` as nested objects; in a list the numbers stay as keys."""
    out: dict[str, Any] = {}
    for path, value in pairs:
        *way, last = path.split(".")
        at = out
        for part in way:
            deeper = at.get(part)
            if not isinstance(deeper, dict):
                # Guards against a key that is both a value and an object ("a=" before "a.count=0").
                deeper = at[part] = {}
            at = deeper
        if not isinstance(at.get(last), dict):
            at[last] = value
    return out


def _at(conf: Conf, path: str) -> Any:
    """What stands under a path, None where nothing does."""
    here: Any = conf
    for part in path.split("."):
        if not isinstance(here, Mapping):
            return None
        here = here.get(part)
    return None if here in ("-", "") else here


def _as_number(path: str, value: Any) -> float:
    try:
        if isinstance(value, bool) or not isinstance(value, (int, float, str)):
            raise ValueError
        number = float(value)
    except (ValueError, OverflowError):
        raise InvalidSetting(f"{path}: {value!r:.60} is no number") from None
    if not 0 <= number < math.inf:  # also what is no number by its own name
        raise InvalidSetting(f"{path}: {value!r:.60} is out of range")
    return number


def _number(conf: Conf, path: str, default: float = 0.0) -> float:
    value = _at(conf, path)
    return default if value is None else _as_number(path, value)


def _whole(conf: Conf, path: str, default: int = 0) -> int:
    try:
        return int(_number(conf, path, default))
    except (ValueError, OverflowError):
        raise InvalidSetting(f"{path}: no whole number") from None


def _seconds(conf: Conf, path: str) -> float:
    return _number(conf, path) / 1000


def _is_true(value: Any) -> bool:
    return value in (True, "true", "1")


def _flag(conf: Conf, path: str) -> bool:
    return _is_true(_at(conf, path))


def _text(conf: Conf, path: str, default: str) -> str:
    value = _at(conf, path)
    if value is not None and not isinstance(value, str):
        raise InvalidSetting(f"{path}: {value!r:.60} is no text")
    return default if value is None else value


def _parts(conf: Conf, path: str) -> list[Any]:
    """A list of plain values, or such a list joined with commas, or a lone value."""
    value = _at(conf, path)
    if value is None:
        return []
    if isinstance(value, str):
        return [part for part in value.split(",") if part not in ("", "-")]
    if isinstance(value, Mapping):
        raise InvalidSetting(f"{path}: a list is meant")
    return list(value) if isinstance(value, Sequence) else [value]


def _numbers(conf: Conf, path: str) -> list[float]:
    return [_as_number(path, part) for part in _parts(conf, path)]


def _nth(parts: list[Any], i: int, default: Any) -> Any:
    return parts[i] if i < len(parts) else default


def _objects(conf: Conf, path: str) -> list[Conf]:
    """A list of objects, as JSON has it or folded from pairs (`count`, then `0`, `1`, ...)."""
    value = _at(conf, path)
    if isinstance(value, Mapping):
        value = [value.get(str(i), {}) for i in range(_whole(conf, path + ".count"))]
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(item, Mapping) for item in value):
        raise InvalidSetting(f"{path}: a list of objects is meant")
    return value


def packages_of(conf: Conf) -> tuple[Package, ...]:
    fam = {k: _numbers(conf, "familyInfo." + k) for k in BY_CLASS}
    live = _parts(conf, "familyInfo.live")
    return tuple(
        Package(
            name=_text(sold, "name", ""),
            join_target=_seconds(sold, "onTime"),
            patience=_seconds(sold, "deadline"),
            value=_number(sold, "worth", 1.0),
            effect=_text(sold, "effect", "repeatable"),
            key_scope=_text(sold, "keyScope", "all"),
            key_window=_seconds(sold, "dedupWindow"),
            scale=float(_nth(fam["classScale"], i, 1)),
            floor=int(_nth(fam["floorByClass"], i, 0)),
            top=int(_nth(fam["classTop"], i, 99)),
            seats=int(_nth(fam["seats"], i, 0)),
            live=_is_true(_nth(live, i, False)),
        )
        for i, sold in enumerate(_objects(conf, "categories"))
    )


def fleet_of(conf: Conf) -> Fleet:
    slots = [int(places) for places in _numbers(conf, "familyInfo.kindSlots")]
    return Fleet(
        cells=_whole(conf, "familyInfo.places"),
        racks=_whole(conf, "familyInfo.racks"),
        link_unit_kb=_number(conf, "familyInfo.linkUnitKb"),
        links_kb=_number(conf, "familyInfo.linksKb"),
        uplink_kb=_number(conf, "familyInfo.uplinkKb"),
        slots=dict(zip(_parts(conf, "kinds"), slots, strict=False)),
        full_from=_number(conf, "familyInfo.fullFrom"),
        join_part=_number(conf, "familyInfo.join", 1.0),
        told_late=_seconds(conf, "familyInfo.toldLate"),
        told_every=_seconds(conf, "familyInfo.toldEvery"),
        load_fields=tuple(_parts(conf, "telemetry.fields")),
        reports=_text(conf, "telemetry.how", "silent"),
    )


def terms_of(conf: Conf) -> Terms:
    rationed = _at(conf, "rules.extraWindow") is not None
    return Terms(
        zone=_text(conf, "locality", ""),
        ordinal=_whole(conf, "ordinal"),
        gateways=_whole(conf, "peersTotal", 1),
        tune_ins=_whole(conf, "ceilings.tryLimit", 1),
        answer_slack=_seconds(conf, "rules.answerSlack"),
        drain_grace=_seconds(conf, "rules.stopSendingWithin"),
        ask_within=_seconds(conf, "rules.askWithin"),
        on_request=_text(conf, "discovery", "pushed") == "on_request",
        cold_share=_number(conf, "rules.coldShare", 1.0),
        warm_up=_seconds(conf, "rules.warmUp"),
        fall_multiple=_number(conf, "rules.fallMultiple", 1.0),
        fall_after=_seconds(conf, "rules.tipAfter"),
        extra_free=_number(conf, "rules.extraFree") if rationed else None,
        extra_ratio=_number(conf, "rules.resendRatio"),
        extra_window=_seconds(conf, "rules.extraWindow"),
        may_probe=_flag(conf, "ceilings.probes"),
        may_tell=_flag(conf, "ceilings.peerMessages"),
        may_advise=_flag(conf, "ceilings.retryAfter"),
        longest_advice=_seconds(conf, "ceilings.maxRetryAfter"),
        cross_price=_number(conf, "prices.crossZone"),
    )


def ladder_of(conf: Conf) -> Ladder:
    kb = tuple(_numbers(conf, "familyInfo.levelKb"))
    return Ladder(kb, tuple(_numbers(conf, "familyInfo.rungWorth")))


EFFECTS, SCOPES = ("repeatable", "by_key", "once"), ("all", "zone", "cell")
IF_COLD = ("rules.coldShare", "rules.fallMultiple", "rules.tipAfter", "peersTotal", "familyInfo.kindSlots")


def _wants(holds: bool, path: str, why: str) -> None:
    if not holds:
        raise InvalidSetting(f"{path}: {why}")


def _check_ladder(ladder: Ladder) -> None:
    rungs, earns = len(ladder.kb), len(ladder.earns)
    _wants(rungs > 0, "familyInfo.levelKb", "missing")
    rises = all(a < b for a, b in zip((0.0, *ladder.kb), ladder.kb, strict=False))
    _wants(rises, "familyInfo.levelKb", "rates must rise from above 0")
    _wants(earns == rungs, "familyInfo.rungWorth", f"{earns} figures for {rungs} rungs")


def _check_packages(conf: Conf, packages: Sequence[Package], rungs: int) -> None:
    _wants(len(packages) > 0, "categories", "missing")
    for path in (f"familyInfo.{key}" for key in (*BY_CLASS, "live")):
        given = len(_parts(conf, path))
        _wants(given in (0, len(packages)), path, f"{given} figures for {len(packages)} categories")
    for i, (p, sold) in enumerate(zip(packages, _objects(conf, "categories"), strict=True)):
        at = f"categories.{i}"
        _wants(p.name != "", f"{at}.name", "missing")
        _wants(p.name not in [other.name for other in packages[:i]], f"{at}.name", f"{p.name!r:.60} twice")
        _wants(p.join_target > 0, f"{at}.onTime", "missing or 0")
        _wants(p.patience > 0, f"{at}.deadline", "missing or 0")
        # Guards against what may be set up once only being taken for harmless.
        _wants(_at(sold, "effect") is not None, f"{at}.effect", "missing")
        _wants(p.effect in EFFECTS, f"{at}.effect", f"{p.effect!r:.60} is none of {', '.join(EFFECTS)}")
        if p.effect == "by_key":
            _wants(_at(sold, "keyScope") in SCOPES, f"{at}.keyScope", f"none of {', '.join(SCOPES)}")
        _wants(p.scale > 0, "familyInfo.classScale", f"0 for {p.name!r:.60}")
        top = min(p.top, rungs - 1)
        _wants(p.floor <= top, "familyInfo.floorByClass", f"{p.floor} for {p.name!r:.60}, whose top is {top}")


def _check_fleet(conf: Conf, fleet: Fleet, terms: Terms) -> None:
    kinds, slots = len(_parts(conf, "kinds")), len(_parts(conf, "familyInfo.kindSlots"))
    _wants(slots in (0, kinds), "familyInfo.kindSlots", f"{slots} figures for {kinds} kinds")
    if terms.warm_up > 0:
        # Guards against a cold media host that gets more than it bears because a figure was left out.
        for path in IF_COLD:
            _wants(_at(conf, path) is not None, path, "missing, while rules.warmUp is set")
        _wants(terms.cold_share <= 1, "rules.coldShare", f"{terms.cold_share:g} is more than the whole")
    if _at(conf, "peersTotal") is not None:
        _wants(terms.ordinal < terms.gateways, "ordinal", f"{terms.ordinal} of {terms.gateways} gateways")
    for path in ("rules.extraFree", "rules.resendRatio"):
        given = _at(conf, path) is None or terms.extra_window > 0
        _wants(given, "rules.extraWindow", f"missing or 0, while {path} is set")
    how = _text(conf, "discovery", "pushed")
    _wants(how in ("pushed", "on_request"), "discovery", f"{how!r:.60} is neither pushed nor on_request")


def read_settings(conf: Conf) -> tuple[Ladder, tuple[Package, ...], Fleet, Terms]:
    """All of them, in the order in which `Gateway` takes them; raises `InvalidSetting`."""
    ladder, packages, fleet, terms = ladder_of(conf), packages_of(conf), fleet_of(conf), terms_of(conf)
    _check_ladder(ladder)
    _check_packages(conf, packages, len(ladder.kb))
    _check_fleet(conf, fleet, terms)
    return ladder, packages, fleet, terms


@dataclass(frozen=True)
class ConnectionSettings:
    """How media hosts are reached over connections; times in seconds."""

    connect_timeout_s: float
    idle_timeout_s: float  # unused connections are closed after this
    max_streams: int  # set-ups that one connection carries at a time


def read_connection_settings(conf: Conf) -> ConnectionSettings:
    return ConnectionSettings(
        connect_timeout_s=_seconds(conf, "ceilings.connectTimeout") or 1.0,
        idle_timeout_s=_seconds(conf, "ceilings.connIdle") or 30.0,
        max_streams=max(1, _whole(conf, "ceilings.streamsPerConn", 1)),
    )
