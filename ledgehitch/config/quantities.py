"""Exact numbers with kinds and units: durations, rates, sizes, shares. Free of I/O.

A quantity is stored in the base unit of its kind: seconds, kilobytes per second, bytes, fractions of one.
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
BASE_UNITS = {
    "duration": "s",
    "rate": "kB/s",
    "size": "B",
    "share": "",
}  # unit of the plain numbers in the result
EXAMPLES = {"duration": "800ms, 3s, 2min", "rate": "450kB/s, 3MB/s", "size": "64kB, 16MiB", "share": "95%"}
KIND_OF = {unit: kind for kind, units in UNITS.items() for unit in units}
MAX_MAGNITUDE = Fraction(10**18)
MAX_DIGITS = 40


class BadNumber(ValueError):
    """Raised for a number that cannot be parsed. The text says why."""


@dataclass(frozen=True)
class Quantity:
    """A number of a kind. "number" has no unit; "any" is a bare number from JSON, which takes any kind."""

    value: Fraction
    kind: str = "number"

    def __str__(self) -> str:
        return format_quantity(self)


def parse_number(text: str) -> Fraction:
    """Returns the exact value of a decimal. Raises `BadNumber` if it has too many digits or is too large."""
    mantissa, _, exponent = text.lower().partition("e")
    if len(mantissa) > MAX_DIGITS or len(exponent) > 5 or abs(int(exponent or 0)) > 30:
        raise BadNumber(f"{text[:20]} is larger or finer than any number here may be")
    value = Fraction(text)
    if abs(value) > MAX_MAGNITUDE:
        raise BadNumber(f"{text[:20]} is larger than any number here may be")
    return value


def parse_quantity(text: str) -> Quantity:
    """Parses a quantity such as `800ms`, `450kB/s` or `95%`.

    Raises `BadNumber`, which names what is wrong, for instance with `3sec` or `1h30min`.
    """
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
    return Quantity(parse_number(text[:end]) * UNITS[kind][unit], kind)


def format_quantity(quantity: Quantity) -> str:
    """Returns the quantity as text, in the largest unit that gives a short decimal."""
    if quantity.kind in ("number", "any"):
        return format_decimal(quantity.value)
    if quantity.kind == "share":
        return format_decimal(quantity.value * 100) + "%"
    if quantity.value == 0:
        return "0" + BASE_UNITS[quantity.kind]
    shortest = ""
    for unit, factor in UNITS[quantity.kind].items():
        text = format_decimal(quantity.value / factor) + unit
        if "bit" in unit or unit.endswith("iB"):
            continue
        if not shortest or len(text) <= len(shortest) and abs(quantity.value) >= factor:
            shortest = text
    return shortest


def format_decimal(value: Fraction) -> str:
    """Returns a decimal without exponent. A fraction with no finite decimal is rounded to nine places."""
    if value.denominator == 1:
        return str(value.numerator)
    text = f"{float(value):.9f}".rstrip("0").rstrip(".")
    return text if text not in ("0", "-0") else f"{float(value):g}"


def explain_wrong_kind(kind: str, found: Quantity) -> str:
    """Returns why `found` is not of the expected kind."""
    if found.kind == "number":
        return f"{format_decimal(found.value)} has no unit; a {kind} is meant, as {EXAMPLES[kind]}"
    return f"{format_quantity(found)} is a {found.kind}; a {kind} is meant, as {EXAMPLES[kind]}"
