"""Numbers with kinds and units: durations, rates, sizes, shares. Exact, free of I/O.

A quantity is kept in its kind's own unit: seconds, kilobytes a second, bytes, parts of one.
"""

from dataclasses import dataclass
from fractions import Fraction

UNITS: dict[str, dict[str, Fraction]] = {
    "duration": {
        "us": Fraction(1, 10**6),
        "ms": Fraction(1, 1000),
        "s": Fraction(1),
        "min": Fraction(60),
        "h": Fraction(3600),
        "d": Fraction(86400),
    },
    "rate": {
        "B/s": Fraction(1, 1000),
        "kB/s": Fraction(1),
        "MB/s": Fraction(1000),
        "GB/s": Fraction(10**6),
        "kbit/s": Fraction(1, 8),
        "Mbit/s": Fraction(125),
        "Gbit/s": Fraction(125000),
    },
    "size": {
        "B": Fraction(1),
        "kB": Fraction(1000),
        "MB": Fraction(10**6),
        "GB": Fraction(10**9),
        "KiB": Fraction(1024),
        "MiB": Fraction(1024**2),
        "GiB": Fraction(1024**3),
    },
    "share": {"%": Fraction(1, 100)},
}
OWN = {
    "duration": "s",
    "rate": "kB/s",
    "size": "B",
    "share": "",
}  # the unit that a bare canonical number is in
EXAMPLES = {"duration": "800ms, 3s, 2min", "rate": "450kB/s, 3MB/s", "size": "64kB, 16MiB", "share": "95%"}
KIND_OF = {unit: kind for kind, units in UNITS.items() for unit in units}
LARGEST = Fraction(10**18)
MOST_DIGITS = 40


class BadNumber(ValueError):
    """A number that cannot be read; the text says why in plain words."""


@dataclass(frozen=True)
class Quantity:
    """A number of a kind: "number" is bare, "any" stands for a bare number of JSON that takes any kind."""

    value: Fraction
    kind: str = "number"

    def __str__(self) -> str:
        return spelt(self)


def number(text: str) -> Fraction:
    """The exact value of a decimal, or `BadNumber` for one that is out of all bounds."""
    mantissa, _, exponent = text.lower().partition("e")
    if len(mantissa) > MOST_DIGITS or len(exponent) > 5 or abs(int(exponent or 0)) > 30:
        raise BadNumber(f"{text[:20]} is larger or finer than any number here may be")
    value = Fraction(text)
    if abs(value) > LARGEST:
        raise BadNumber(f"{text[:20]} is larger than any number here may be")
    return value


def quantity(text: str) -> Quantity:
    """Reads `800ms`, `450kB/s`, `95%`; names what is wrong with `3sec` or `1h30min`."""
    end = 0
    while end < len(text) and (text[end].isdigit() or text[end] == "."):
        end += 1
    if end < len(text) and text[end] in "eE" and end + 1 < len(text) and text[end + 1] in "+-0123456789":
        end += 2
        while end < len(text) and text[end].isdigit():
            end += 1
    unit = text[end:]
    if unit not in KIND_OF:
        if any(c.isdigit() for c in unit):
            raise BadNumber(f"{text} has two units; write one, as 90min for 1h30min")
        kinds = "; ".join(f"{kind} {', '.join(units)}" for kind, units in UNITS.items())
        raise BadNumber(f"{unit!r} is no unit; units are: {kinds}")
    kind = KIND_OF[unit]
    return Quantity(number(text[:end]) * UNITS[kind][unit], kind)


def spelt(q: Quantity) -> str:
    """How a person writes it: the largest unit that leaves a short decimal."""
    if q.kind in ("number", "any"):
        return plain(q.value)
    if q.kind == "share":
        return plain(q.value * 100) + "%"
    if q.value == 0:
        return "0" + OWN[q.kind]
    best = ""
    for unit, worth in UNITS[q.kind].items():
        text = plain(q.value / worth) + unit
        if "bit" in unit or unit.endswith("iB"):
            continue
        if not best or len(text) <= len(best) and abs(q.value) >= worth:
            best = text
    return best


def plain(value: Fraction) -> str:
    """A decimal without exponent; a fraction that has none is rounded to nine places."""
    if value.denominator == 1:
        return str(value.numerator)
    text = f"{float(value):.9f}".rstrip("0").rstrip(".")
    return text if text not in ("0", "-0") else f"{float(value):g}"


def wanted(kind: str, found: Quantity) -> str:
    """Why `found` is not of the kind that is due."""
    if found.kind == "number":
        return f"{plain(found.value)} has no unit; a {kind} is meant, as {EXAMPLES[kind]}"
    return f"{spelt(found)} is a {found.kind}; a {kind} is meant, as {EXAMPLES[kind]}"
