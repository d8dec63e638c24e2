"""Plain values, constraints and their unification. Free of I/O.

A value is a choice of alternatives, each an exact value or a range of a kind. Some alternatives may be marked
as the default. `meet` is commutative, associative and idempotent, and raises `Conflict` if nothing satisfies
both.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction

from ledgehitch.config.quantities import EXAMPLES, Quantity, explain_wrong_kind, format_quantity

NUMERIC = ("number", "duration", "rate", "size", "share")
MAX_ALTERNATIVES = 64
Exact = Quantity | str | bool | None


class Conflict(ValueError):
    """Raised when two values cannot both hold. The text says why."""


@dataclass(frozen=True)
class Alternative:
    """An exact value, or all values of a kind within bounds. The kind "" stands for any kind."""

    kind: str = ""
    is_exact: bool = False
    exact: Exact = None
    low: Fraction | None = None
    low_open: bool = False
    high: Fraction | None = None
    high_open: bool = False
    is_integer: bool = False
    excluded: frozenset[Fraction | str] = frozenset()

    def key(self) -> str:
        """Returns a text that identifies the alternative, for deduplication and order."""
        return repr(
            (
                self.kind,
                self.is_exact,
                str(self.exact),
                self.low,
                self.low_open,
                self.high,
                self.high_open,
                self.is_integer,
                sorted(map(str, self.excluded)),
            )
        )

    def __str__(self) -> str:
        if self.is_exact:
            return format_exact(self.exact)
        parts = ["int" if self.is_integer else self.kind or "anything"]
        kind = self.kind or "number"
        if self.low is not None:
            parts.append((">" if self.low_open else ">=") + format_quantity(Quantity(self.low, kind)))
        if self.high is not None:
            parts.append(("<" if self.high_open else "<=") + format_quantity(Quantity(self.high, kind)))
        parts += [f"!={x}" for x in sorted(map(str, self.excluded))]
        if len(parts) > 1 and not self.is_integer and (self.low is not None or self.high is not None):
            parts = parts[1:]
        return " & ".join(parts)


@dataclass(frozen=True)
class Value:
    """Alternatives, and those that are the default. Without a mark, all of them count as the default."""

    alternatives: tuple[Alternative, ...]
    defaults: tuple[Alternative, ...] = ()

    def exact(self) -> Alternative | None:
        """Returns the one exact value, taking the default if needed, or None if it is not determined."""
        for candidates in (self.alternatives, self.defaults):
            if len(candidates) == 1 and candidates[0].is_exact:
                return candidates[0]
        return None

    def __str__(self) -> str:
        marked = set(self.defaults) if set(self.defaults) != set(self.alternatives) else set()
        return " | ".join(("*" if a in marked else "") + str(a) for a in self.alternatives)


ANYTHING = Value((Alternative(),))


def format_exact(exact: Exact) -> str:
    """Returns an exact value as it is written in the language."""
    if isinstance(exact, str):
        return '"' + exact.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(exact, Quantity):
        return format_quantity(exact)
    return {True: "true", False: "false", None: "null"}[exact]


def exact_value(exact: Exact) -> Value:
    """Returns the value that allows exactly `exact`."""
    return Value((_exact_alternative(exact),))


def _exact_alternative(exact: Exact) -> Alternative:
    if isinstance(exact, Quantity):
        return Alternative(exact.kind, True, exact)
    kind = "bool" if isinstance(exact, bool) else "string" if isinstance(exact, str) else "null"
    return Alternative(kind, True, exact)


def of_kind(kind: str) -> Value:
    """Returns the value that allows everything of a kind. "int" stands for whole numbers."""
    return Value((Alternative("number", is_integer=True),)) if kind == "int" else Value((Alternative(kind),))


def bound(operator: str, exact: Exact) -> Value:
    """Returns the values that satisfy a bound such as `>=0`, `<1s` or `!="x"`.

    Raises `Conflict` for a bound on anything but a number or quantity, except that `!=` also takes a string.
    """
    if operator == "!=" and isinstance(exact, str):
        return Value((Alternative("string", excluded=frozenset((exact,))),))
    if not isinstance(exact, Quantity):
        raise Conflict(f"{operator} bounds numbers and quantities, not {format_exact(exact)}")
    kind = "" if exact.kind == "any" else exact.kind
    if operator == "!=":
        return Value((Alternative(kind, excluded=frozenset((exact.value,))),))
    if operator in (">", ">="):
        return Value((Alternative(kind, low=exact.value, low_open=operator == ">"),))
    return Value((Alternative(kind, high=exact.value, high_open=operator == "<"),))


def choice(parts: Iterable[tuple[bool, Value]]) -> Value:
    """Returns the choice of the given alternatives (`|`). Those marked with True are the default."""
    alternatives: list[Alternative] = []
    defaults: list[Alternative] = []
    marked = False
    for default, value in parts:
        alternatives += value.alternatives
        if default:
            marked = True
            defaults += value.alternatives
    return Value(_normalize(alternatives), _normalize(defaults) if marked else ())


def _normalize(alternatives: Iterable[Alternative]) -> tuple[Alternative, ...]:
    by_key = {alternative.key(): alternative for alternative in alternatives}
    if not all(alternative.is_exact for alternative in by_key.values()):
        # Drops alternatives that another one covers, which keeps `meet` idempotent.
        by_key = {
            k: x for k, x in by_key.items() if not any(k != j and _covers(y, x) for j, y in by_key.items())
        }
    if len(by_key) > MAX_ALTERNATIVES:
        raise Conflict(f"more than {MAX_ALTERNATIVES} alternatives")
    return tuple(by_key[key] for key in sorted(by_key))


def _covers(y: Alternative, x: Alternative) -> bool:
    try:
        return _meet(x, y) == x
    except Conflict:
        return False


def meet(a: Value, b: Value) -> Value:
    """Returns what both values allow. Raises `Conflict` if that is nothing."""
    if a == b:
        return a
    alternatives, reason = [], ""
    for x in a.alternatives:
        for y in b.alternatives:
            try:
                alternatives.append(_meet(x, y))
            except Conflict as conflict:
                reason = reason if reason and len(a.alternatives) * len(b.alternatives) > 1 else str(conflict)
    if not alternatives:
        if len(a.alternatives) * len(b.alternatives) > 1:
            one, many = (a, b) if len(a.alternatives) <= len(b.alternatives) else (b, a)
            reason = f"{one} is none of {', '.join(map(str, many.alternatives))}"
        raise Conflict(reason)
    defaults: list[Alternative] = []
    if a.defaults or b.defaults:
        for x in a.defaults or a.alternatives:
            for y in b.defaults or b.alternatives:
                try:
                    defaults.append(_meet(x, y))
                except Conflict:
                    continue
    return Value(_normalize(alternatives), _normalize(defaults))


def _meet(x: Alternative, y: Alternative) -> Alternative:
    if x == y:
        return x
    if x.is_exact and y.is_exact:
        return _meet_exact(x, y)
    if y.is_exact:
        x, y = y, x
    if x.is_exact:
        return _meet_exact_with_range(x, y)
    kind = x.kind or y.kind
    if x.kind and y.kind and x.kind != y.kind:
        raise Conflict(f"{x} and {y} have nothing in common")
    low, low_open = _tighter_bound((x.low, x.low_open), (y.low, y.low_open), 1)
    high, high_open = _tighter_bound((x.high, x.high_open), (y.high, y.high_open), -1)
    met = Alternative(
        kind,
        low=low,
        low_open=low_open,
        high=high,
        high_open=high_open,
        is_integer=x.is_integer or y.is_integer,
        excluded=x.excluded | y.excluded,
    )
    if (
        met.low is not None
        and met.high is not None
        and (met.low > met.high or (met.low == met.high and (met.low_open or met.high_open)))
    ):
        raise Conflict(f"nothing is both {x} and {y}")
    if met.kind and met.kind not in NUMERIC and (met.low is not None or met.high is not None):
        raise Conflict(f"nothing is both {x} and {y}")
    return met


def _tighter_bound(
    a: tuple[Fraction | None, bool], b: tuple[Fraction | None, bool], sign: int
) -> tuple[Fraction | None, bool]:
    if a[0] is None or b[0] is None:
        return b if a[0] is None else a
    if a[0] == b[0]:
        return a[0], a[1] or b[1]
    return a if (a[0] > b[0]) == (sign > 0) else b


def _meet_exact(x: Alternative, y: Alternative) -> Alternative:
    a, b = x.exact, y.exact
    alike = isinstance(a, Quantity) and isinstance(b, Quantity) and a.value == b.value
    for one, other in ((x, y), (y, x)):
        if alike and one.kind == "any":  # a bare number from JSON takes the kind of the other
            return other
    raise Conflict(f"{x} and {y} are different")


def _meet_exact_with_range(x: Alternative, y: Alternative) -> Alternative:
    """Returns the exact value `x` if the range `y` allows it. Raises `Conflict` otherwise."""
    exact = x.exact
    if isinstance(exact, Quantity):
        if y.kind and y.kind not in NUMERIC:
            raise Conflict(f"{x} is a {exact.kind if exact.kind != 'any' else 'number'}, a {y.kind} is meant")
        if exact.kind == "any":
            exact = Quantity(exact.value, y.kind or "any")
        elif y.kind and y.kind != exact.kind:
            raise Conflict(
                explain_wrong_kind(y.kind, exact)
                if y.kind in EXAMPLES
                else f"{x} is a {exact.kind}, a bare number is meant"
            )
        v = exact.value
        low = y.low is None or v > y.low or (v == y.low and not y.low_open)
        high = y.high is None or v < y.high or (v == y.high and not y.high_open)
        if not low or not high:
            raise Conflict(f"{format_quantity(exact)} is not {y}")
        if y.is_integer and v.denominator != 1:
            raise Conflict(f"{format_quantity(exact)} is no whole number")
        if v in y.excluded:
            raise Conflict(f"{format_quantity(exact)} is not allowed here")
        return _exact_alternative(exact)
    bounded = y.low is not None or y.high is not None
    if bounded or (y.kind and y.kind != x.kind):
        meant = f"a {y.kind}" if y.kind not in EXAMPLES else f"a {y.kind} as {EXAMPLES[y.kind]}"
        raise Conflict(f"{x} is a {x.kind}, {meant if y.kind else y} is meant")
    if isinstance(exact, str) and exact in y.excluded:
        raise Conflict(f"{x} is not allowed here")
    return x
