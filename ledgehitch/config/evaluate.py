"""What a tree means: fields met by unification, references, patterns, definitions. Free of I/O.

A vertex is one place of the result. It gathers everything said of that place (a node, and the scope in which
its names are looked up) and meets it all, so that the order of saying makes no difference. Every vertex is
worked out once; one that needs itself is a mistake, and their number is bounded, so evaluation ends.
"""

import difflib
from collections.abc import Iterator
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

from ledgehitch.config.quantities import Quantity, spelt
from ledgehitch.config.syntax import (
    SCHEMA,
    At,
    Both,
    Bound,
    Choice,
    Field,
    KindOf,
    ListOf,
    Literal,
    Mistake,
    Node,
    Pattern,
    Record,
    Ref,
    Sum,
    Text,
)
from ledgehitch.config.values import ANYTHING, Clash, Value, bound, choice, exactly, meet, of_kind

MOST_VERTICES = 400_000  # places of one result
MOST_DEPTH = 100  # references through references, records within records
MOST_TEXT = 10_000  # characters of one string that is put together


@dataclass(eq=False)
class Scope:
    """Names of one record literal, standing in one vertex; then those of the record around it."""

    names: set[str]
    vertex: "Vertex"
    outer: "Scope | None"
    variable: tuple[str, str] | None = None  # a pattern's variable and what it stands for


@dataclass(eq=False)
class Said:
    """One conjunct. `group`: the closed definition through which it came."""

    node: Node
    scope: Scope | None
    group: object | None = None
    through: str = ""  # the definition or pattern that brought it


@dataclass(eq=False)
class Vertex:
    path: tuple[str, ...]
    said: list[Said] = field(default_factory=list)
    fields: "dict[str, Vertex]" = field(default_factory=dict)
    items: "list[Vertex] | None" = None
    rests: list[Said] = field(default_factory=list)  # what all items of a list are
    value: Value = ANYTHING
    is_record: bool = False
    state: int = 0  # 0 not begun, 1 being worked out, 2 done
    optional: bool = True  # only ever said with "?"
    declared: dict[object, "Allowed"] = field(default_factory=dict)
    origins: list[tuple[At, str, str]] = field(default_factory=list)  # place, what it says, through what
    failed: bool = False

    def at(self) -> At | None:
        return self.said[0].node.at if self.said else None

    def name(self) -> str:
        return ".".join(self.path) or "the whole file"


@dataclass
class Allowed:
    """What a closed definition allows in one vertex."""

    names: set[str] = field(default_factory=set)
    any_name: bool = False
    name: str = ""


class Evaluation:
    def __init__(self) -> None:
        self.mistakes: list[Mistake] = []
        self.count = 0
        self.depth = 0
        self.partial = False  # some text did not parse, so what it said is not known
        self._told: set[tuple[str, str]] = set()

    def wrong(self, at: At | None, reason: str, hint: str = "", absent: bool = False) -> None:
        """`absent`: that something is missing, which says nothing where part of the text did not parse."""
        if absent and self.partial:
            return
        at = at or At("", 0, 0)
        if (str(at), reason) not in self._told:
            self._told.add((str(at), reason))
            self.mistakes.append(Mistake(at, reason, hint))

    def root(self, records: list[Record]) -> Vertex:
        """The vertex of all files together; definitions are looked up across them."""
        top = Vertex(())
        names = {f.name for r in records for f in r.fields}
        for record in records:
            top.said.append(Said(record, Scope(names, top, None)))
        return top

    # ---- working out ---------------------------------------------------------------------------------------

    def work_out(self, v: Vertex) -> Vertex:
        """Meets all that is said of a vertex, not of its fields."""
        if v.state == 2:
            return v
        if v.state == 1:
            self.wrong(v.at(), f"{v.name()} needs itself to be worked out")
            v.failed = True
            return v
        self.depth += 1
        v.state = 1
        try:
            if self.depth > MOST_DEPTH:
                self.wrong(v.at(), f"{v.name()}: definitions within definitions never come to an end")
                v.failed = True
                return v
            queue = list(v.said)
            seen: set[tuple[int, int]] = set()
            patterns: list[tuple[Pattern, Said]] = []
            while queue:
                one = queue.pop(0)
                key = id(one.node), id(one.scope)
                if key in seen:
                    continue
                seen.add(key)
                self._take(v, one, queue, patterns)
            self._apply_patterns(v, patterns)
            self._check_closed(v)
        finally:
            self.depth -= 1
            v.state = 2
        return v

    def _take(self, v: Vertex, one: Said, queue: list[Said], patterns: list[tuple[Pattern, Said]]) -> None:
        node = one.node
        match node:
            case Record():
                self._record(v, node, one, patterns)
            case Both(parts=parts):
                queue += [Said(part, one.scope, one.group, one.through) for part in parts]
            case Ref():
                self._reference(v, node, one, queue)
            case ListOf():
                self._list(v, node, one)
            case _:
                self._meet(v, one, self._plain(node, one.scope))

    def _meet(self, v: Vertex, one: Said, value: Value | None) -> None:
        if value is None:
            v.failed = True
            return
        if v.is_record or v.items is not None:
            if value is not ANYTHING:
                self._mixed(v, one)
            return
        v.origins.append((one.node.at, str(value), one.through))
        try:
            v.value = meet(v.value, value)
        except Clash as clash:
            if not v.failed:
                # Told where a person said it, not where the schema forbids it.
                own = [(at, what) for at, what, _ in v.origins if at.file != SCHEMA]
                at = own[-1][0] if own else one.node.at
                others = [f"{place} says {what}" for place, what in own if place != at][-3:]
                self.wrong(at, f"{v.name()}: {clash}", "; ".join(others))
            v.failed = True

    def _mixed(self, v: Vertex, one: Said) -> None:
        if not v.failed:
            own = [s.node.at for s in v.said if s.node.at.file != SCHEMA]
            at = own[-1] if own else one.node.at
            others = "; ".join(str(place) for place in own if place != at)
            self.wrong(at, f"{v.name()} is a record or list in one place and not in another", others)
        v.failed = True

    def _record(self, v: Vertex, node: Record, one: Said, patterns: list[tuple[Pattern, Said]]) -> None:
        if v.value is not ANYTHING or v.items is not None:
            self._mixed(v, one)
            return
        v.is_record = True
        scope = (
            one.scope if one.scope is not None and one.scope.vertex is v and one.scope.outer is None else None
        )
        scope = scope or Scope({f.name for f in node.fields}, v, one.scope)
        allowed = None
        if one.group is not None:
            allowed = v.declared.setdefault(one.group, Allowed(name=one.through))
            allowed.any_name |= node.opened
        for f in node.fields:
            child = self._child(v, f)
            child.optional &= f.optional
            child.said.append(Said(f.value, scope, one.group, one.through))
            if allowed is not None:
                allowed.names.add(f.name)
        for p in node.patterns:
            patterns.append((p, Said(p.value, scope, one.group, one.through)))
            if allowed is not None:
                allowed.any_name = True

    def _child(self, v: Vertex, f: Field) -> Vertex:
        child = v.fields.get(f.name)
        if child is None:
            self.count += 1
            if self.count > MOST_VERTICES:
                raise TooMuch(f.at)
            child = v.fields[f.name] = Vertex((*v.path, f.name))
        return child

    def _apply_patterns(self, v: Vertex, patterns: list[tuple[Pattern, Said]]) -> None:
        for pattern, said in patterns:
            for name, child in list(v.fields.items()):
                if not name.startswith("#"):
                    scope = Scope(set(), v, said.scope, (pattern.variable, name))
                    through = said.through or f"[{pattern.variable}=string]"
                    child.said.append(Said(said.node, scope, said.group, through))

    def _check_closed(self, v: Vertex) -> None:
        """A record of definitions holds what one of them allows, and nothing else (CUE asks it of each)."""
        groups = list(v.declared.values()) if v.is_record else []
        if not groups or any(allowed.any_name for allowed in groups):
            return
        names = {name for allowed in groups for name in allowed.names}
        for name, child in list(v.fields.items()):
            if name not in names and not name.startswith("#"):
                near = difflib.get_close_matches(name, sorted(names), 1, 0.5)
                what = " and ".join(dict.fromkeys(a.name for a in groups if a.name)) or "this record"
                hint = f"is {near[0]!r} meant?" if near else f"there are {', '.join(sorted(names)[:12])}"
                self.wrong(
                    self._field_at(v, name) or child.at(), f"{v.name()}: {what} has no field {name!r}", hint
                )
                del v.fields[name]

    @staticmethod
    def _field_at(v: Vertex, name: str) -> At | None:
        for one in v.said:
            if isinstance(one.node, Record):
                for f in one.node.fields:
                    if f.name == name:
                        return f.at
        return None

    def _list(self, v: Vertex, node: ListOf, one: Said) -> None:
        if v.value is not ANYTHING or v.is_record:
            self._mixed(v, one)
            return
        if v.items is None:
            v.items = []
            v.declared["length"] = Allowed(any_name=True)
        length = v.declared["length"]
        fixed = None if length.any_name else int(length.name)
        if not node.opened:
            if fixed is not None and fixed != len(node.items) or len(node.items) < len(v.items):
                self.wrong(
                    node.at,
                    f"{v.name()}: lists of {len(node.items)} and {max(fixed or 0, len(v.items))} items",
                )
                v.failed = True
                return
            length.any_name, length.name = False, str(len(node.items))
            fixed = len(node.items)
        for i in range(max(len(node.items), len(v.items), fixed or 0)):
            if i >= len(v.items):
                if fixed is not None and i >= fixed:
                    self.wrong(node.at, f"{v.name()}: more than {fixed} items")
                    v.failed = True
                    return
                self.count += 1
                if self.count > MOST_VERTICES:
                    raise TooMuch(node.at)
                v.items.append(Vertex((*v.path, str(i)), list(v.rests)))
            if i < len(node.items):
                v.items[i].said.append(Said(node.items[i], one.scope, one.group, one.through))
            elif node.rest is not None:
                v.items[i].said.append(Said(node.rest, one.scope, one.group, one.through))
        if node.rest is not None:
            v.rests.append(Said(node.rest, one.scope, one.group, one.through))

    # ---- references ----------------------------------------------------------------------------------------

    def _reference(self, v: Vertex, node: Ref, one: Said, queue: list[Said]) -> None:
        bound_to = self._variable(node, one.scope)
        if bound_to is not None:
            self._meet(v, one, exactly(bound_to))
            return
        target = self._target(node, one.scope)
        if target is None:
            v.failed = True
            return
        if target is v or target.state == 1 and not node.path[-1].startswith("#"):
            self.wrong(node.at, f"{target.name()} refers to itself")
            v.failed = True
            return
        if target.path and target.path == v.path[: len(target.path)] and not v.optional:
            self.wrong(
                node.at, f"{target.name()} holds itself and never ends", "an optional field may, with '?'"
            )
            v.failed = True
            return
        definition = any(part.startswith("#") for part in node.path)
        group = object() if definition else one.group
        through = ".".join(node.path) if definition else one.through
        queue += [
            Said(s.node, s.scope, group if definition else s.group, through or s.through) for s in target.said
        ]

    def _variable(self, node: Ref, scope: Scope | None) -> str | None:
        while scope is not None:
            if scope.variable is not None and scope.variable[0] == node.path[0] and len(node.path) == 1:
                return scope.variable[1]
            if node.path[0] in scope.names:
                return None
            scope = scope.outer
        return None

    def _target(self, node: Ref, scope: Scope | None) -> Vertex | None:
        known: set[str] = set()
        while scope is not None:
            if node.path[0] in scope.names:
                break
            known |= scope.names
            scope = scope.outer
        if scope is None:
            near = difflib.get_close_matches(node.path[0], sorted(known), 1, 0.5)
            self.wrong(
                node.at, f"nothing is called {node.path[0]!r} here", f"is {near[0]!r} meant?" if near else ""
            )
            return None
        target = scope.vertex
        for i, name in enumerate(node.path):
            if i:
                self.work_out(target)
                if target.failed:
                    return None
            found = target.fields.get(name)
            if found is None:
                near = difflib.get_close_matches(name, sorted(target.fields), 1, 0.5)
                hint = f"is {near[0]!r} meant?" if near else ""
                self.wrong(node.at, f"{target.name()} has no field {name!r}", hint)
                return None
            target = found
        return target

    # ---- plain values --------------------------------------------------------------------------------------

    def _plain(self, node: Node, scope: Scope | None) -> Value | None:
        """The value of an expression that is no record, list or reference; None after a mistake."""
        try:
            match node:
                case Literal(exact=exact):
                    return exactly(exact)
                case KindOf(kind=kind):
                    return of_kind(kind)
                case Bound(operator=operator, of=of):
                    inner = self._known(of, scope)
                    return None if inner is None else bound(operator, inner)
                case Choice(parts=parts):
                    found = [(default, self._operand(part, scope)) for default, part in parts]
                    if any(value is None for _, value in found):
                        return None
                    return choice([(d, x) for d, x in found if x is not None])
                case Sum(parts=parts):
                    return self._sum(node, parts, scope)
                case Text(parts=parts):
                    return self._text(node, parts, scope)
        except Clash as clash:
            self.wrong(node.at, str(clash))
            return None
        self.wrong(node.at, "a choice is between plain values, not records or lists")
        return None

    def _operand(self, node: Node, scope: Scope | None) -> Value | None:
        """The value of an operand: references are worked out."""
        if isinstance(node, (Ref, Both)):
            v = Vertex(("a value",), [Said(node, scope)])
            self.count += 1
            self.work_out(v)
            if v.failed:
                return None
            if v.is_record or v.items is not None:
                self.wrong(node.at, "a plain value is meant here, not a record or list")
                return None
            return v.value
        return self._plain(node, scope)

    def _known(self, node: Node, scope: Scope | None) -> Any:
        """The exact value of an operand; None, with a mistake, where it has none."""
        value = self._operand(node, scope)
        if value is None:
            return None
        exact = value.exact()
        if exact is None:
            self.wrong(node.at, f"this has no one value, it is {value}")
            return None
        return exact.exact

    def _sum(self, node: Node, parts: list[tuple[str, Node]], scope: Scope | None) -> Value | None:
        total: Quantity | None = None
        for operator, part in parts:
            x = self._known(part, scope)
            if x is None:
                return None
            if not isinstance(x, Quantity):
                self.wrong(
                    part.at, 'sums are for numbers and quantities; strings are put together as "\\(a)\\(b)"'
                )
                return None
            if total is None:
                total = Quantity(-x.value, x.kind) if operator == "-" else x
                continue
            met = self._combined(part.at, operator, total, x)
            if met is None:
                return None
            total = met
        return None if total is None else exactly(total)

    def _combined(self, at: At, operator: str, a: Quantity, b: Quantity) -> Quantity | None:
        bare = ("number", "any")
        if operator in "+-":
            if a.kind != b.kind and not (a.kind in bare and b.kind in bare):
                self.wrong(at, f"{spelt(a)} {operator} {spelt(b)}: a {a.kind} and a {b.kind} cannot be added")
                return None
            return Quantity(a.value + b.value if operator == "+" else a.value - b.value, a.kind)
        if operator == "/":
            if b.value == 0:
                self.wrong(at, "division by zero")
                return None
            value = Fraction(a.value, b.value)
            if a.kind == b.kind:
                return Quantity(value, "number")
            if b.kind in bare:
                return Quantity(value, a.kind)
            if (a.kind, b.kind) == ("size", "duration"):
                return Quantity(value / 1000, "rate")
        else:
            value = a.value * b.value
            for one, other in ((a, b), (b, a)):
                if one.kind in bare or one.kind == "share":
                    return Quantity(value, other.kind if other.kind not in bare else one.kind)
            if {a.kind, b.kind} == {"rate", "duration"}:
                return Quantity(value * 1000, "size")
        self.wrong(at, f"{spelt(a)} {operator} {spelt(b)}: a {a.kind} and a {b.kind} make nothing known")
        return None

    def _text(self, node: Node, parts: list[Any], scope: Scope | None) -> Value | None:
        text = ""
        for part in parts:
            if isinstance(part, Node):
                known = self._known(part, scope)
                if known is None:
                    return None
                part = (
                    known
                    if isinstance(known, str)
                    else spelt(known)
                    if isinstance(known, Quantity)
                    else str(known)
                )
            text += part
            if len(text) > MOST_TEXT:
                self.wrong(node.at, f"this string is longer than {MOST_TEXT} characters")
                return None
        return exactly(text)

    # ---- the result ----------------------------------------------------------------------------------------

    def sound(self, v: Vertex, depth: int = 0) -> None:
        """Works out a definition and all that it must hold, without asking for values."""
        self.work_out(v)
        if depth <= MOST_DEPTH and not v.failed:
            for child in (*v.fields.values(), *(v.items or ())):
                if not child.optional:
                    self.sound(child, depth + 1)

    def result(self, v: Vertex, depth: int = 0, near: At | None = None) -> Any:
        """Plain data: records without definitions, lists, and numbers in their kinds' own units. Optional
        fields that nobody gave a value are left out; what has no one value is a mistake."""
        self.work_out(v)
        if v.failed:
            return None
        # What is missing is told where the nearest record stands that somebody wrote, not in the schema.
        near = next((said.node.at for said in v.said if said.node.at.file != SCHEMA), near)
        if depth > MOST_DEPTH:
            self.wrong(near, f"{v.name()}: records within records never come to an end")
            return None
        if v.items is not None:
            return [self.result(item, depth + 1, near) for item in v.items]
        if v.is_record:
            made = {}
            for name, child in v.fields.items():
                if name.startswith("#") or child.optional:
                    continue
                made[name] = self.result(child, depth + 1, near)
            return made
        exact = v.value.exact()
        if exact is None:
            self.wrong(near, f"{v.name()} is not given; it is {v.value}", absent=True)
            return None
        return plain_data(exact.exact)

    def walk(self, v: Vertex) -> Iterator[Vertex]:
        """All vertices that have a place in the result."""
        self.work_out(v)
        yield v
        children = (
            v.items
            if v.items is not None
            else [c for n, c in v.fields.items() if not n.startswith("#") and not c.optional]
        )
        for child in children:
            yield from self.walk(child)


class TooMuch(Exception):
    """A result with more places than are allowed."""

    def __init__(self, at: At) -> None:
        super().__init__(str(at))
        self.mistake = Mistake(at, f"this expands to more than {MOST_VERTICES} places")


def plain_data(exact: Any) -> Any:
    if isinstance(exact, Quantity):
        value = exact.value
        return value.numerator if value.denominator == 1 else float(value)
    return exact
