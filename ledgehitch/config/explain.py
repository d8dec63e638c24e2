"""Where a value comes from, and the reference of all fields. Free of I/O."""

from collections.abc import Iterator
from typing import Any

from ledgehitch.config.evaluate import Evaluation, Vertex
from ledgehitch.config.load import schema
from ledgehitch.config.quantities import EXAMPLES
from ledgehitch.config.syntax import Both, Field, ListOf, Node, Record, Ref


def found(e: Evaluation, body: Vertex, path: list[str]) -> Vertex | None:
    """The vertex at a path of the result."""
    v = body
    for name in path:
        e.work_out(v)
        if v.items is not None and name.isdigit() and int(name) < len(v.items):
            v = v.items[int(name)]
        elif name in v.fields:
            v = v.fields[name]
        else:
            return None
    return e.work_out(v)


def origins(v: Vertex) -> Iterator[tuple[str, str, str]]:
    """Where, what, and through which definition or pattern: all that is said of a place, in reading order."""
    if v.origins:
        for at, what, through in v.origins:
            yield str(at), what, through
        return
    for said in v.said:
        yield str(said.node.at), _short(said.node), said.through


def _short(node: Node) -> str:
    match node:
        case Ref(path=path):
            return ".".join(path)
        case Both(parts=parts):
            return " & ".join(_short(p) for p in parts)
        case Record(fields=fields):
            return "{ " + ", ".join(f.name for f in fields[:6]) + (", ... }" if len(fields) > 6 else " }")
        case ListOf():
            return "a list"
    return type(node).__name__.lower()


def reference() -> str:
    """The page of every field with kind, unit and default, made from the schema."""
    lines = [
        "# Reference of the configuration language's fields",
        "",
        "Made by `ledgehitch config reference` from the schema; not written by hand.",
        "",
    ]
    e = Evaluation()
    top = e.root([schema()])
    e.work_out(top)
    for f in schema().fields:
        if not isinstance(f.value, Record):
            continue
        lines += [f"## `{f.name}`", "", "| field | what it is | default |", "| --- | --- | --- |"]
        for member in f.value.fields:
            default, text = _described(e, top, member)
            need = "" if not member.optional else ", may be left out"
            lines.append(f"| `{member.name}` | {text}{need} | {default} |")
        lines.append("")
    return "\n".join(lines)


def _described(e: Evaluation, top: Vertex, member: Field) -> tuple[str, str]:
    node: Any = member.value
    if isinstance(node, Record) and node.patterns:
        return "", f"records by name, each: {_short(node.patterns[0].value)}"
    if isinstance(node, ListOf):
        return "empty", f"list of {_short(node.rest) if node.rest is not None else 'values'}"
    if isinstance(node, (Ref, Record)):
        return "", _short(node)
    vertex = Vertex(("field",))
    from ledgehitch.config.evaluate import Said

    vertex.said.append(Said(node, None))
    e.work_out(vertex)
    value = vertex.value
    exact = value.exact()
    default = str(exact) if exact is not None and value.defaults else ""
    kinds = sorted({a.kind for a in value.alts})
    unit = f" ({EXAMPLES[kinds[0]]})" if len(kinds) == 1 and kinds[0] in EXAMPLES else ""
    shown = " or ".join(
        dict.fromkeys(str(a) for a in value.alts if len(value.alts) == 1 or str(a) != default)
    )
    if not shown or all(a.is_exact for a in value.alts):
        shown = " or ".join(str(a) for a in value.alts)
    return default, f"{kinds[0] if len(kinds) == 1 else ''} {shown}{unit}".strip()
