"""Plain values and constraints, and how two of them meet. Free of I/O.

A value is a choice of alternatives, each an exact value or a range of a kind; one alternative may be marked
as the default. Meeting is commutative, associative and idempotent; what cannot meet raises `Clash`.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction

from ledgehitch.config.quantities import EXAMPLES, Quantity, spelt, wanted

NUMERIC = ("number", "duration", "rate", "size", "share")
MOST_ALTERNATIVES = 64
Exact = Quantity | str | bool | None


class Clash(ValueError):
    """Two values that cannot both hold; the text says why."""


@dataclass(frozen=True)
class Alt:
    """An exact value, or all of a kind within bounds. Kind "" is anything at all."""

    kind: str = ""
    is_exact: bool = False
    exact: Exact = None
    low: Fraction | None = None
    low_open: bool = False
    high: Fraction | None = None
    high_open: bool = False
    whole: bool = False
    never: frozenset[Fraction | str] = frozenset()

    def key(self) -> str:
        return repr(
            (
                self.kind,
                self.is_exact,
                str(self.exact),
                self.low,
                self.low_open,
                self.high,
                self.high_open,
                self.whole,
                sorted(map(str, self.never)),
            )
        )

    def __str__(self) -> str:
        if self.is_exact:
            return shown(self.exact)
        parts = ["int" if self.whole else self.kind or "anything"]
        kind = self.kind or "number"
        if self.low is not None:
            parts.append((">" if self.low_open else ">=") + spelt(Quantity(self.low, kind)))
        if self.high is not None:
            parts.append(("<" if self.high_open else "<=") + spelt(Quantity(self.high, kind)))
        parts += [f"!={x}" for x in sorted(map(str, self.never))]
        if len(parts) > 1 and not self.whole and (self.low is not None or self.high is not None):
            parts = parts[1:]
        return " & ".join(parts)


@dataclass(frozen=True)
class Value:
    """Alternatives, and which of them are the default (all, where none is marked)."""

    alts: tuple[Alt, ...]
    defaults: tuple[Alt, ...] = ()

    def exact(self) -> Alt | None:
        """The one exact value that this comes to, by the default if there is one."""
        for some in (self.alts, self.defaults):
            if len(some) == 1 and some[0].is_exact:
                return some[0]
        return None

    def __str__(self) -> str:
        marked = set(self.defaults) if set(self.defaults) != set(self.alts) else set()
        return " | ".join(("*" if a in marked else "") + str(a) for a in self.alts)


ANYTHING = Value((Alt(),))


def shown(exact: Exact) -> str:
    if isinstance(exact, str):
        return '"' + exact.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(exact, Quantity):
        return spelt(exact)
    return {True: "true", False: "false", None: "null"}[exact]


def exactly(exact: Exact) -> Value:
    return Value((_exact(exact),))


def _exact(exact: Exact) -> Alt:
    if isinstance(exact, Quantity):
        return Alt(exact.kind, True, exact)
    kind = "bool" if isinstance(exact, bool) else "string" if isinstance(exact, str) else "null"
    return Alt(kind, True, exact)


def of_kind(kind: str) -> Value:
    return Value((Alt("number", whole=True),)) if kind == "int" else Value((Alt(kind),))


def bound(operator: str, exact: Exact) -> Value:
    """`>=0`, `<1s`, `!="x"`; bounds are for numbers, `!=` for strings too."""
    if operator == "!=" and isinstance(exact, str):
        return Value((Alt("string", never=frozenset((exact,))),))
    if not isinstance(exact, Quantity):
        raise Clash(f"{operator} bounds numbers and quantities, not {shown(exact)}")
    kind = "" if exact.kind == "any" else exact.kind
    if operator == "!=":
        return Value((Alt(kind, never=frozenset((exact.value,))),))
    if operator in (">", ">="):
        return Value((Alt(kind, low=exact.value, low_open=operator == ">"),))
    return Value((Alt(kind, high=exact.value, high_open=operator == "<"),))


def choice(parts: Iterable[tuple[bool, Value]]) -> Value:
    """Alternatives by `|`; a marked one is the default."""
    alts: list[Alt] = []
    defaults: list[Alt] = []
    marked = False
    for default, value in parts:
        alts += value.alts
        if default:
            marked = True
            defaults += value.alts
    return Value(_tidy(alts), _tidy(defaults) if marked else ())


def _tidy(alts: Iterable[Alt]) -> tuple[Alt, ...]:
    kept = {alt.key(): alt for alt in alts}
    if not all(alt.is_exact for alt in kept.values()):
        # What another alternative allows already adds nothing: so that meeting twice is meeting once.
        kept = {k: x for k, x in kept.items() if not any(k != j and _covers(y, x) for j, y in kept.items())}
    if len(kept) > MOST_ALTERNATIVES:
        raise Clash(f"more than {MOST_ALTERNATIVES} alternatives")
    return tuple(kept[key] for key in sorted(kept))


def _covers(y: Alt, x: Alt) -> bool:
    try:
        return _meet(x, y) == x
    except Clash:
        return False


def meet(a: Value, b: Value) -> Value:
    """What both allow; raises `Clash` when that is nothing."""
    if a == b:
        return a
    alts, why = [], ""
    for x in a.alts:
        for y in b.alts:
            try:
                alts.append(_meet(x, y))
            except Clash as clash:
                why = why if why and len(a.alts) * len(b.alts) > 1 else str(clash)
    if not alts:
        if len(a.alts) * len(b.alts) > 1:
            one, many = (a, b) if len(a.alts) <= len(b.alts) else (b, a)
            why = f"{one} is none of {', '.join(map(str, many.alts))}"
        raise Clash(why)
    defaults: list[Alt] = []
    if a.defaults or b.defaults:
        for x in a.defaults or a.alts:
            for y in b.defaults or b.alts:
                try:
                    defaults.append(_meet(x, y))
                except Clash:
                    continue
    return Value(_tidy(alts), _tidy(defaults))


def _meet(x: Alt, y: Alt) -> Alt:
    if x == y:
        return x
    if x.is_exact and y.is_exact:
        return _same(x, y)
    if y.is_exact:
        x, y = y, x
    if x.is_exact:
        return _within(x, y)
    kind = x.kind or y.kind
    if x.kind and y.kind and x.kind != y.kind:
        raise Clash(f"{x} and {y} have nothing in common")
    low, low_open = _tighter((x.low, x.low_open), (y.low, y.low_open), 1)
    high, high_open = _tighter((x.high, x.high_open), (y.high, y.high_open), -1)
    met = Alt(
        kind,
        low=low,
        low_open=low_open,
        high=high,
        high_open=high_open,
        whole=x.whole or y.whole,
        never=x.never | y.never,
    )
    if (
        met.low is not None
        and met.high is not None
        and (met.low > met.high or (met.low == met.high and (met.low_open or met.high_open)))
    ):
        raise Clash(f"nothing is both {x} and {y}")
    if met.kind and met.kind not in NUMERIC and (met.low is not None or met.high is not None):
        raise Clash(f"nothing is both {x} and {y}")
    return met


def _tighter(
    a: tuple[Fraction | None, bool], b: tuple[Fraction | None, bool], sign: int
) -> tuple[Fraction | None, bool]:
    if a[0] is None or b[0] is None:
        return b if a[0] is None else a
    if a[0] == b[0]:
        return a[0], a[1] or b[1]
    return a if (a[0] > b[0]) == (sign > 0) else b


def _same(x: Alt, y: Alt) -> Alt:
    a, b = x.exact, y.exact
    alike = isinstance(a, Quantity) and isinstance(b, Quantity) and a.value == b.value
    for one, other in ((x, y), (y, x)):
        if alike and one.kind == "any":  # a bare number of JSON
            return other
    raise Clash(f"{x} and {y} are different")


def _within(x: Alt, y: Alt) -> Alt:
    """An exact value within a range."""
    exact = x.exact
    if isinstance(exact, Quantity):
        if y.kind and y.kind not in NUMERIC:
            raise Clash(f"{x} is a {exact.kind if exact.kind != 'any' else 'number'}, a {y.kind} is meant")
        if exact.kind == "any":
            exact = Quantity(exact.value, y.kind or "any")
        elif y.kind and y.kind != exact.kind:
            raise Clash(
                wanted(y.kind, exact)
                if y.kind in EXAMPLES
                else f"{x} is a {exact.kind}, a bare number is meant"
            )
        v = exact.value
        low = y.low is None or v > y.low or (v == y.low and not y.low_open)
        high = y.high is None or v < y.high or (v == y.high and not y.high_open)
        if not low or not high:
            raise Clash(f"{spelt(exact)} is not {y}")
        if y.whole and v.denominator != 1:
            raise Clash(f"{spelt(exact)} is no whole number")
        if v in y.never:
            raise Clash(f"{spelt(exact)} is not allowed here")
        return _exact(exact)
    bounded = y.low is not None or y.high is not None
    if bounded or (y.kind and y.kind != x.kind):
        meant = f"a {y.kind}" if y.kind not in EXAMPLES else f"a {y.kind} as {EXAMPLES[y.kind]}"
        raise Clash(f"{x} is a {x.kind}, {meant if y.kind else y} is meant")
    if isinstance(exact, str) and exact in y.never:
        raise Clash(f"{x} is not allowed here")
    return x
