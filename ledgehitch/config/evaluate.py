"""Evaluates syntax trees: unification of fields, references, patterns and definitions. Free of I/O.

A vertex is one position in the result. It collects all conjuncts for that position (a node, and the scope in
which its names are resolved) and unifies them, so the order of statements makes no difference. Each vertex is
evaluated once. A vertex that depends on itself is a mistake, and the number of vertices is limited, so
evaluation ends.
"""

import difflib
from collections.abc import Iterator
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

from ledgehitch.config.quantities import Quantity, format_quantity
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
from ledgehitch.config.values import ANYTHING, Conflict, Value, bound, choice, exact_value, meet, of_kind

MAX_VERTICES = 400_000  # in one result
MAX_DEPTH = 100  # of nested references or records
MAX_STRING_CHARACTERS = 10_000  # in one interpolated string


@dataclass(eq=False)
class Scope:
    """Names of one record literal in one vertex. `outer` is the scope of the enclosing record."""

    names: set[str]
    vertex: "Vertex"
    outer: "Scope | None"
    variable: tuple[str, str] | None = None  # name and value of a pattern's variable


@dataclass(eq=False)
class Conjunct:
    """A node to unify into a vertex. `group` identifies the closed definition that it came from, if any."""

    node: Node
    scope: Scope | None
    group: object | None = None
    through: str = ""  # name of the definition or pattern that it came from


@dataclass(eq=False)
class Vertex:
    """One position in the result, with all conjuncts for it and what they evaluate to."""

    path: tuple[str, ...]
    conjuncts: list[Conjunct] = field(default_factory=list)
    fields: "dict[str, Vertex]" = field(default_factory=dict)
    items: "list[Vertex] | None" = None
    rest_conjuncts: list[Conjunct] = field(default_factory=list)  # constraints on all items of a list
    value: Value = ANYTHING
    is_record: bool = False
    state: int = 0  # 0: not evaluated, 1: being evaluated, 2: evaluated
    optional: bool = True  # every statement of this field has "?"
    declared: dict[object, "Allowed"] = field(default_factory=dict)
    origins: list[tuple[At, str, str]] = field(default_factory=list)  # position, value, source
    failed: bool = False

    def at(self) -> At | None:
        return self.conjuncts[0].node.at if self.conjuncts else None

    def name(self) -> str:
        return ".".join(self.path) or "the whole file"


@dataclass
class Allowed:
    """Field names that a closed definition allows in one vertex. For a list, `name` is its fixed length."""

    names: set[str] = field(default_factory=set)
    any_name: bool = False
    name: str = ""


class Evaluation:
    """One evaluation of a set of syntax trees, with the mistakes found so far."""

    def __init__(self) -> None:
        self.mistakes: list[Mistake] = []
        self.count = 0
        self.depth = 0
        self.partial = False  # part of the text did not parse, so its content is unknown
        self._reported: set[tuple[str, str]] = set()

    def add_mistake(self, at: At | None, reason: str, hint: str = "", absent: bool = False) -> None:
        """Records a mistake once per position and reason.

        `absent`: the mistake is a missing value. It is ignored if part of the text did not parse.
        """
        if absent and self.partial:
            return
        at = at or At("", 0, 0)
        if (str(at), reason) not in self._reported:
            self._reported.add((str(at), reason))
            self.mistakes.append(Mistake(at, reason, hint))

    def root(self, records: list[Record]) -> Vertex:
        """Returns the vertex of all files together. Definitions are resolved across files."""
        top = Vertex(())
        names = {f.name for r in records for f in r.fields}
        for record in records:
            top.conjuncts.append(Conjunct(record, Scope(names, top, None)))
        return top

    # ---- evaluation ----------------------------------------------------------------------------------------

    def evaluate(self, vertex: Vertex) -> Vertex:
        """Unifies all conjuncts of a vertex, without those of its fields."""
        if vertex.state == 2:
            return vertex
        if vertex.state == 1:
            self.add_mistake(vertex.at(), f"{vertex.name()} needs itself to be worked out")
            vertex.failed = True
            return vertex
        self.depth += 1
        vertex.state = 1
        try:
            if self.depth > MAX_DEPTH:
                self.add_mistake(
                    vertex.at(), f"{vertex.name()}: definitions within definitions never come to an end"
                )
                vertex.failed = True
                return vertex
            queue = list(vertex.conjuncts)
            seen: set[tuple[int, int]] = set()
            patterns: list[tuple[Pattern, Conjunct]] = []
            while queue:
                conjunct = queue.pop(0)
                key = id(conjunct.node), id(conjunct.scope)
                if key in seen:
                    continue
                seen.add(key)
                self._apply_conjunct(vertex, conjunct, queue, patterns)
            self._apply_patterns(vertex, patterns)
            self._check_closed(vertex)
        finally:
            self.depth -= 1
            vertex.state = 2
        return vertex

    def _apply_conjunct(
        self,
        vertex: Vertex,
        conjunct: Conjunct,
        queue: list[Conjunct],
        patterns: list[tuple[Pattern, Conjunct]],
    ) -> None:
        node = conjunct.node
        match node:
            case Record():
                self._apply_record(vertex, node, conjunct, patterns)
            case Both(parts=parts):
                queue += [Conjunct(part, conjunct.scope, conjunct.group, conjunct.through) for part in parts]
            case Ref():
                self._apply_reference(vertex, node, conjunct, queue)
            case ListOf():
                self._apply_list(vertex, node, conjunct)
            case _:
                self._meet_value(vertex, conjunct, self._plain_value(node, conjunct.scope))

    def _meet_value(self, vertex: Vertex, conjunct: Conjunct, value: Value | None) -> None:
        if value is None:
            vertex.failed = True
            return
        if vertex.is_record or vertex.items is not None:
            if value is not ANYTHING:
                self._report_mixed_kinds(vertex, conjunct)
            return
        vertex.origins.append((conjunct.node.at, str(value), conjunct.through))
        try:
            vertex.value = meet(vertex.value, value)
        except Conflict as conflict:
            if not vertex.failed:
                # Reports the position in the user's files, not the one in the schema.
                own = [(at, what) for at, what, _ in vertex.origins if at.file != SCHEMA]
                at = own[-1][0] if own else conjunct.node.at
                others = [f"{place} says {what}" for place, what in own if place != at][-3:]
                self.add_mistake(at, f"{vertex.name()}: {conflict}", "; ".join(others))
            vertex.failed = True

    def _report_mixed_kinds(self, vertex: Vertex, conjunct: Conjunct) -> None:
        if not vertex.failed:
            own = [s.node.at for s in vertex.conjuncts if s.node.at.file != SCHEMA]
            at = own[-1] if own else conjunct.node.at
            others = "; ".join(str(place) for place in own if place != at)
            self.add_mistake(
                at, f"{vertex.name()} is a record or list in one place and not in another", others
            )
        vertex.failed = True

    def _apply_record(
        self, vertex: Vertex, node: Record, conjunct: Conjunct, patterns: list[tuple[Pattern, Conjunct]]
    ) -> None:
        if vertex.value is not ANYTHING or vertex.items is not None:
            self._report_mixed_kinds(vertex, conjunct)
            return
        vertex.is_record = True
        scope = (
            conjunct.scope
            if conjunct.scope is not None and conjunct.scope.vertex is vertex and conjunct.scope.outer is None
            else None
        )
        scope = scope or Scope({f.name for f in node.fields}, vertex, conjunct.scope)
        allowed = None
        if conjunct.group is not None:
            allowed = vertex.declared.setdefault(conjunct.group, Allowed(name=conjunct.through))
            allowed.any_name |= node.opened
        for f in node.fields:
            child = self._get_or_add_field(vertex, f)
            child.optional &= f.optional
            child.conjuncts.append(Conjunct(f.value, scope, conjunct.group, conjunct.through))
            if allowed is not None:
                allowed.names.add(f.name)
        for p in node.patterns:
            patterns.append((p, Conjunct(p.value, scope, conjunct.group, conjunct.through)))
            if allowed is not None:
                allowed.any_name = True

    def _get_or_add_field(self, vertex: Vertex, f: Field) -> Vertex:
        child = vertex.fields.get(f.name)
        if child is None:
            self.count += 1
            if self.count > MAX_VERTICES:
                raise ResultTooLarge(f.at)
            child = vertex.fields[f.name] = Vertex((*vertex.path, f.name))
        return child

    def _apply_patterns(self, vertex: Vertex, patterns: list[tuple[Pattern, Conjunct]]) -> None:
        for pattern, conjunct in patterns:
            for name, child in list(vertex.fields.items()):
                if not name.startswith("#"):
                    scope = Scope(set(), vertex, conjunct.scope, (pattern.variable, name))
                    through = conjunct.through or f"[{pattern.variable}=string]"
                    child.conjuncts.append(Conjunct(conjunct.node, scope, conjunct.group, through))

    def _check_closed(self, vertex: Vertex) -> None:
        """Checks that at least one closed definition allows each field (CUE requires it of every one)."""
        groups = list(vertex.declared.values()) if vertex.is_record else []
        if not groups or any(allowed.any_name for allowed in groups):
            return
        names = {name for allowed in groups for name in allowed.names}
        for name, child in list(vertex.fields.items()):
            if name not in names and not name.startswith("#"):
                near = difflib.get_close_matches(name, sorted(names), 1, 0.5)
                what = " and ".join(dict.fromkeys(a.name for a in groups if a.name)) or "this record"
                hint = f"is {near[0]!r} meant?" if near else f"there are {', '.join(sorted(names)[:12])}"
                self.add_mistake(
                    self._field_at(vertex, name) or child.at(),
                    f"{vertex.name()}: {what} has no field {name!r}",
                    hint,
                )
                del vertex.fields[name]

    @staticmethod
    def _field_at(vertex: Vertex, name: str) -> At | None:
        for conjunct in vertex.conjuncts:
            if isinstance(conjunct.node, Record):
                for f in conjunct.node.fields:
                    if f.name == name:
                        return f.at
        return None

    def _apply_list(self, vertex: Vertex, node: ListOf, conjunct: Conjunct) -> None:
        if vertex.value is not ANYTHING or vertex.is_record:
            self._report_mixed_kinds(vertex, conjunct)
            return
        if vertex.items is None:
            vertex.items = []
            vertex.declared["length"] = Allowed(any_name=True)
        length = vertex.declared["length"]
        fixed = None if length.any_name else int(length.name)
        if not node.opened:
            if fixed is not None and fixed != len(node.items) or len(node.items) < len(vertex.items):
                self.add_mistake(
                    node.at,
                    f"{vertex.name()}: lists of {len(node.items)} and "
                    f"{max(fixed or 0, len(vertex.items))} items",
                )
                vertex.failed = True
                return
            length.any_name, length.name = False, str(len(node.items))
            fixed = len(node.items)
        for i in range(max(len(node.items), len(vertex.items), fixed or 0)):
            if i >= len(vertex.items):
                if fixed is not None and i >= fixed:
                    self.add_mistake(node.at, f"{vertex.name()}: more than {fixed} items")
                    vertex.failed = True
                    return
                self.count += 1
                if self.count > MAX_VERTICES:
                    raise ResultTooLarge(node.at)
                vertex.items.append(Vertex((*vertex.path, str(i)), list(vertex.rest_conjuncts)))
            if i < len(node.items):
                vertex.items[i].conjuncts.append(
                    Conjunct(node.items[i], conjunct.scope, conjunct.group, conjunct.through)
                )
            elif node.rest is not None:
                vertex.items[i].conjuncts.append(
                    Conjunct(node.rest, conjunct.scope, conjunct.group, conjunct.through)
                )
        if node.rest is not None:
            vertex.rest_conjuncts.append(
                Conjunct(node.rest, conjunct.scope, conjunct.group, conjunct.through)
            )

    # ---- references ----------------------------------------------------------------------------------------

    def _apply_reference(self, vertex: Vertex, node: Ref, conjunct: Conjunct, queue: list[Conjunct]) -> None:
        variable_value = self._pattern_variable(node, conjunct.scope)
        if variable_value is not None:
            self._meet_value(vertex, conjunct, exact_value(variable_value))
            return
        target = self._resolve(node, conjunct.scope)
        if target is None:
            vertex.failed = True
            return
        if target is vertex or target.state == 1 and not node.path[-1].startswith("#"):
            self.add_mistake(node.at, f"{target.name()} refers to itself")
            vertex.failed = True
            return
        if target.path and target.path == vertex.path[: len(target.path)] and not vertex.optional:
            self.add_mistake(
                node.at, f"{target.name()} holds itself and never ends", "an optional field may, with '?'"
            )
            vertex.failed = True
            return
        definition = any(part.startswith("#") for part in node.path)
        group = object() if definition else conjunct.group
        through = ".".join(node.path) if definition else conjunct.through
        queue += [
            Conjunct(s.node, s.scope, group if definition else s.group, through or s.through)
            for s in target.conjuncts
        ]

    def _pattern_variable(self, node: Ref, scope: Scope | None) -> str | None:
        while scope is not None:
            if scope.variable is not None and scope.variable[0] == node.path[0] and len(node.path) == 1:
                return scope.variable[1]
            if node.path[0] in scope.names:
                return None
            scope = scope.outer
        return None

    def _resolve(self, node: Ref, scope: Scope | None) -> Vertex | None:
        known: set[str] = set()
        while scope is not None:
            if node.path[0] in scope.names:
                break
            known |= scope.names
            scope = scope.outer
        if scope is None:
            near = difflib.get_close_matches(node.path[0], sorted(known), 1, 0.5)
            self.add_mistake(
                node.at, f"nothing is called {node.path[0]!r} here", f"is {near[0]!r} meant?" if near else ""
            )
            return None
        target = scope.vertex
        for i, name in enumerate(node.path):
            if i:
                self.evaluate(target)
                if target.failed:
                    return None
            found = target.fields.get(name)
            if found is None:
                near = difflib.get_close_matches(name, sorted(target.fields), 1, 0.5)
                hint = f"is {near[0]!r} meant?" if near else ""
                self.add_mistake(node.at, f"{target.name()} has no field {name!r}", hint)
                return None
            target = found
        return target

    # ---- plain values --------------------------------------------------------------------------------------

    def _plain_value(self, node: Node, scope: Scope | None) -> Value | None:
        """Returns the value of an expression other than record, list or reference; None after a mistake."""
        try:
            match node:
                case Literal(exact=exact):
                    return exact_value(exact)
                case KindOf(kind=kind):
                    return of_kind(kind)
                case Bound(operator=operator, of=of):
                    inner = self._exact_operand(of, scope)
                    return None if inner is None else bound(operator, inner)
                case Choice(parts=parts):
                    found = [(default, self._operand(part, scope)) for default, part in parts]
                    if any(value is None for _, value in found):
                        return None
                    return choice([(d, x) for d, x in found if x is not None])
                case Sum(parts=parts):
                    return self._sum(node, parts, scope)
                case Text(parts=parts):
                    return self._string_value(node, parts, scope)
        except Conflict as conflict:
            self.add_mistake(node.at, str(conflict))
            return None
        self.add_mistake(node.at, "a choice is between plain values, not records or lists")
        return None

    def _operand(self, node: Node, scope: Scope | None) -> Value | None:
        """Returns the value of an operand, with references resolved, or None after a mistake."""
        if isinstance(node, (Ref, Both)):
            vertex = Vertex(("a value",), [Conjunct(node, scope)])
            self.count += 1
            self.evaluate(vertex)
            if vertex.failed:
                return None
            if vertex.is_record or vertex.items is not None:
                self.add_mistake(node.at, "a plain value is meant here, not a record or list")
                return None
            return vertex.value
        return self._plain_value(node, scope)

    def _exact_operand(self, node: Node, scope: Scope | None) -> Any:
        """Returns the exact value of an operand. Without one, records a mistake and returns None."""
        value = self._operand(node, scope)
        if value is None:
            return None
        exact = value.exact()
        if exact is None:
            self.add_mistake(node.at, f"this has no one value, it is {value}")
            return None
        return exact.exact

    def _sum(self, node: Node, parts: list[tuple[str, Node]], scope: Scope | None) -> Value | None:
        total: Quantity | None = None
        for operator, part in parts:
            x = self._exact_operand(part, scope)
            if x is None:
                return None
            if not isinstance(x, Quantity):
                self.add_mistake(
                    part.at, 'sums are for numbers and quantities; strings are put together as "\\(a)\\(b)"'
                )
                return None
            if total is None:
                total = Quantity(-x.value, x.kind) if operator == "-" else x
                continue
            met = self._combine(part.at, operator, total, x)
            if met is None:
                return None
            total = met
        return None if total is None else exact_value(total)

    def _combine(self, at: At, operator: str, a: Quantity, b: Quantity) -> Quantity | None:
        bare = ("number", "any")
        if operator in "+-":
            if a.kind != b.kind and not (a.kind in bare and b.kind in bare):
                self.add_mistake(
                    at,
                    f"{format_quantity(a)} {operator} {format_quantity(b)}: "
                    f"a {a.kind} and a {b.kind} cannot be added",
                )
                return None
            return Quantity(a.value + b.value if operator == "+" else a.value - b.value, a.kind)
        if operator == "/":
            if b.value == 0:
                self.add_mistake(at, "division by zero")
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
            for left, right in ((a, b), (b, a)):
                if left.kind in bare or left.kind == "share":
                    return Quantity(value, right.kind if right.kind not in bare else left.kind)
            if {a.kind, b.kind} == {"rate", "duration"}:
                return Quantity(value * 1000, "size")
        self.add_mistake(
            at,
            f"{format_quantity(a)} {operator} {format_quantity(b)}: "
            f"a {a.kind} and a {b.kind} make nothing known",
        )
        return None

    def _string_value(self, node: Node, parts: list[Any], scope: Scope | None) -> Value | None:
        text = ""
        for part in parts:
            if isinstance(part, Node):
                known = self._exact_operand(part, scope)
                if known is None:
                    return None
                part = (
                    known
                    if isinstance(known, str)
                    else format_quantity(known)
                    if isinstance(known, Quantity)
                    else str(known)
                )
            text += part
            if len(text) > MAX_STRING_CHARACTERS:
                self.add_mistake(node.at, f"this string is longer than {MAX_STRING_CHARACTERS} characters")
                return None
        return exact_value(text)

    # ---- the result ----------------------------------------------------------------------------------------

    def check_definition(self, vertex: Vertex, depth: int = 0) -> None:
        """Evaluates a definition and its required fields, without requiring exact values."""
        self.evaluate(vertex)
        if depth <= MAX_DEPTH and not vertex.failed:
            for child in (*vertex.fields.values(), *(vertex.items or ())):
                if not child.optional:
                    self.check_definition(child, depth + 1)

    def result(self, vertex: Vertex, depth: int = 0, near: At | None = None) -> Any:
        """Returns plain data: records without definitions, lists, and numbers in base units.

        Optional fields without a value are omitted. A required field without an exact value is a mistake.
        """
        self.evaluate(vertex)
        if vertex.failed:
            return None
        # Missing values are reported at the nearest enclosing record in the user's files, not in the schema.
        near = next(
            (conjunct.node.at for conjunct in vertex.conjuncts if conjunct.node.at.file != SCHEMA), near
        )
        if depth > MAX_DEPTH:
            self.add_mistake(near, f"{vertex.name()}: records within records never come to an end")
            return None
        if vertex.items is not None:
            return [self.result(item, depth + 1, near) for item in vertex.items]
        if vertex.is_record:
            fields = {}
            for name, child in vertex.fields.items():
                if name.startswith("#") or child.optional:
                    continue
                fields[name] = self.result(child, depth + 1, near)
            return fields
        exact = vertex.value.exact()
        if exact is None:
            self.add_mistake(near, f"{vertex.name()} is not given; it is {vertex.value}", absent=True)
            return None
        return plain_data(exact.exact)

    def walk(self, vertex: Vertex) -> Iterator[Vertex]:
        """Yields all vertices that are part of the result."""
        self.evaluate(vertex)
        yield vertex
        children = (
            vertex.items
            if vertex.items is not None
            else [c for n, c in vertex.fields.items() if not n.startswith("#") and not c.optional]
        )
        for child in children:
            yield from self.walk(child)


class ResultTooLarge(Exception):
    """Raised when a result has more than `MAX_VERTICES` vertices."""

    def __init__(self, at: At) -> None:
        super().__init__(str(at))
        self.mistake = Mistake(at, f"this expands to more than {MAX_VERTICES} places")


def plain_data(exact: Any) -> Any:
    """Returns a quantity as an int or float in its base unit, and any other exact value unchanged."""
    if isinstance(exact, Quantity):
        value = exact.value
        return value.numerator if value.denominator == 1 else float(value)
    return exact
