"""The formatter: the same tokens and comments, laid out in one way. Free of I/O.

Line breaks between fields stay where the author put them, at most one empty line together; indentation,
spaces and the ends of lines are ours. Nothing is left out, added or moved, so the meaning cannot change.
"""

from lark.exceptions import UnexpectedInput

from ledgehitch.config.syntax import At, Malformed, Mistake, read, tokens

OPENING, CLOSING = {"LBRACE", "LSQB", "LPAR"}, {"RBRACE", "RSQB", "RPAR"}
ENDS_OPERAND = {"NAME", "DEFINITION", "STRING", "NUMBER", "QUANTITY", "KIND", "CONSTANT", *CLOSING}
TIGHT_BEFORE = {"COMMA", "COLON", "OPTIONAL", "RPAR", "RSQB", "DOT"}
TIGHT_AFTER = {"LPAR", "LSQB", "DOT", "BOUND"}


def format_text(text: str, name: str = "text") -> str:
    """The text in its one layout; raises `Malformed` where it does not parse."""
    if not name.endswith(".json"):
        _, mistakes = read(text, name)
        if mistakes:
            raise Malformed(mistakes[0])
    lines: list[str] = []
    line: list[str] = []
    depth = line_depth = 0
    before = ""
    unary = False
    try:
        found = list(tokens(text))
    except UnexpectedInput as wrong:
        raise Malformed(Mistake(At(name, wrong.line, wrong.column), "this does not parse")) from None

    def flush() -> None:
        nonlocal line, before
        if line:
            lines.append("\t" * line_depth + "".join(line).rstrip())
        line, before = [], ""

    for token in found:
        kind = token.type
        if kind == "WS":
            breaks = str(token).count("\n")
            if breaks:
                flush()
                if breaks > 1 and lines and lines[-1]:
                    lines.append("")
            continue
        if kind in CLOSING:
            depth = max(0, depth - 1)
        if not line:
            line_depth = depth
        if line and _spaced(before, kind, unary):
            line.append(" ")
        unary = kind in ("SIGN", "MINUS", "DEFAULT", "TIMES") and before not in ENDS_OPERAND
        line.append(str(token).rstrip())
        if kind in OPENING:
            depth += 1
        before = kind
    flush()
    while lines and not lines[-1]:
        lines.pop()
    while lines and not lines[0]:
        lines.pop(0)
    return "\n".join(lines) + "\n" if lines else ""


def _spaced(before: str, kind: str, unary: bool) -> bool:
    if kind in TIGHT_BEFORE or before in TIGHT_AFTER or unary:
        return False
    if before == "LBRACE" and kind == "RBRACE":
        return False
    return not (before == "__ANON_0" and kind not in ("RBRACE",))
