"""Explains where a value comes from, and generates the reference page of all fields. Free of I/O."""

from collections.abc import Iterator
from typing import Any

from ledgehitch.config.evaluate import Evaluation, Vertex
from ledgehitch.config.load import schema
from ledgehitch.config.quantities import EXAMPLES
from ledgehitch.config.syntax import Both, Field, ListOf, Node, Record, Ref


def find_vertex(evaluation: Evaluation, body: Vertex, path: list[str]) -> Vertex | None:
    """Returns the vertex at a path of the result, or None if there is none."""
    vertex = body
    for name in path:
        evaluation.evaluate(vertex)
        if vertex.items is not None and name.isdigit() and int(name) < len(vertex.items):
            vertex = vertex.items[int(name)]
        elif name in vertex.fields:
            vertex = vertex.fields[name]
        else:
            return None
    return evaluation.evaluate(vertex)


def origins(vertex: Vertex) -> Iterator[tuple[str, str, str]]:
    """Yields position, value and source definition or pattern of each statement on a vertex, in order."""
    if vertex.origins:
        for at, what, through in vertex.origins:
            yield str(at), what, through
        return
    for conjunct in vertex.conjuncts:
        yield str(conjunct.node.at), _summary(conjunct.node), conjunct.through


def _summary(node: Node) -> str:
    match node:
        case Ref(path=path):
            return ".".join(path)
        case Both(parts=parts):
            return " & ".join(_summary(p) for p in parts)
        case Record(fields=fields):
            return "{ " + ", ".join(f.name for f in fields[:6]) + (", ... }" if len(fields) > 6 else " }")
        case ListOf():
            return "a list"
    return type(node).__name__.lower()


def reference() -> str:
    """Returns the reference page of all fields with kind, unit and default, generated from the schema."""
    lines = [
        "# Reference of the configuration language's fields",
        "",
        "Made by `ledgehitch config reference` from the schema; not written by hand.",
        "",
    ]
    evaluation = Evaluation()
    top = evaluation.root([schema()])
    evaluation.evaluate(top)
    for f in schema().fields:
        if not isinstance(f.value, Record):
            continue
        lines += [f"## `{f.name}`", "", "| field | what it is | default |", "| --- | --- | --- |"]
        for member in f.value.fields:
            default, text = _describe_field(evaluation, top, member)
            optional_note = "" if not member.optional else ", may be left out"
            lines.append(f"| `{member.name}` | {text}{optional_note} | {default} |")
        lines.append("")
    return "\n".join(lines)


def _describe_field(evaluation: Evaluation, top: Vertex, member: Field) -> tuple[str, str]:
    node: Any = member.value
    if isinstance(node, Record) and node.patterns:
        return "", f"records by name, each: {_summary(node.patterns[0].value)}"
    if isinstance(node, ListOf):
        return "empty", f"list of {_summary(node.rest) if node.rest is not None else 'values'}"
    if isinstance(node, (Ref, Record)):
        return "", _summary(node)
    vertex = Vertex(("field",))
    from ledgehitch.config.evaluate import Conjunct

    vertex.conjuncts.append(Conjunct(node, None))
    evaluation.evaluate(vertex)
    value = vertex.value
    exact = value.exact()
    default = str(exact) if exact is not None and value.defaults else ""
    kinds = sorted({a.kind for a in value.alternatives})
    unit = f" ({EXAMPLES[kinds[0]]})" if len(kinds) == 1 and kinds[0] in EXAMPLES else ""
    allowed = " or ".join(
        dict.fromkeys(str(a) for a in value.alternatives if len(value.alternatives) == 1 or str(a) != default)
    )
    if not allowed or all(a.is_exact for a in value.alternatives):
        allowed = " or ".join(str(a) for a in value.alternatives)
    return default, f"{kinds[0] if len(kinds) == 1 else ''} {allowed}{unit}".strip()
