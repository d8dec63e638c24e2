"""Formatter of the configuration language. Free of I/O.

Line breaks between fields stay, with at most one empty line in a row. The formatter decides on indentation,
spaces and line ends. It does not remove, add or move tokens or comments, so the meaning cannot change.
"""

from lark.exceptions import UnexpectedInput

from ledgehitch.config.syntax import At, Malformed, Mistake, parse_text, tokens

OPENING, CLOSING = {"LBRACE", "LSQB", "LPAR"}, {"RBRACE", "RSQB", "RPAR"}
ENDS_OPERAND = {"NAME", "DEFINITION", "STRING", "NUMBER", "QUANTITY", "KIND", "CONSTANT", *CLOSING}
TIGHT_BEFORE = {"COMMA", "COLON", "OPTIONAL", "RPAR", "RSQB", "DOT"}
TIGHT_AFTER = {"LPAR", "LSQB", "DOT", "BOUND"}


def format_text(text: str, name: str = "text") -> str:
    """Returns the formatted text. Raises `Malformed` if it does not parse."""
    if not name.endswith(".json"):
        _, mistakes = parse_text(text, name)
        if mistakes:
            raise Malformed(mistakes[0])
    lines: list[str] = []
    line: list[str] = []
    depth = line_depth = 0
    previous_kind = ""
    unary = False
    try:
        all_tokens = list(tokens(text))
    except UnexpectedInput as error:
        raise Malformed(Mistake(At(name, error.line, error.column), "this does not parse")) from None

    def flush() -> None:
        nonlocal line, previous_kind
        if line:
            lines.append("\t" * line_depth + "".join(line).rstrip())
        line, previous_kind = [], ""

    for token in all_tokens:
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
        if line and _needs_space(previous_kind, kind, unary):
            line.append(" ")
        unary = kind in ("SIGN", "MINUS", "DEFAULT", "TIMES") and previous_kind not in ENDS_OPERAND
        line.append(str(token).rstrip())
        if kind in OPENING:
            depth += 1
        previous_kind = kind
    flush()
    while lines and not lines[-1]:
        lines.pop()
    while lines and not lines[0]:
        lines.pop(0)
    return "\n".join(lines) + "\n" if lines else ""


def _needs_space(previous_kind: str, kind: str, unary: bool) -> bool:
    if kind in TIGHT_BEFORE or previous_kind in TIGHT_AFTER or unary:
        return False
    if previous_kind == "LBRACE" and kind == "RBRACE":
        return False
    return not (previous_kind == "__ANON_0" and kind not in ("RBRACE",))
