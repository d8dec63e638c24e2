"""Parses text to a syntax tree with `lark`, and reports syntax errors by line and column. Free of I/O.

Line ends have no meaning and commas between fields are optional. Nesting, size and length are limited, so any
text is parsed or rejected in bounded time and memory.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken, VisitError

from ledgehitch.config.quantities import BadNumber, Quantity, parse_number, parse_quantity
from ledgehitch.config.values import Exact

MAX_FILE_BYTES = 2 << 20  # of one file
MAX_DEPTH = 60
SCHEMA = "schema"  # file name of the built-in definitions in messages

GRAMMAR = r"""
start: (item ","?)*
?item: include | member | opened
include: "include" STRING
member: label OPTIONAL? ":" _rhs
      | "[" NAME "=" "string" "]" ":" _rhs -> pattern
opened: "..."
_rhs: member | expr
label: NAME | DEFINITION | STRING
expr: alt ("|" alt)*
alt: DEFAULT? conj
conj: sum ("&" sum)*
sum: term (SIGN term)*
term: factor (TIMES factor)*
?factor: "-" factor -> minus
       | BOUND factor -> bound
       | atom
?atom: NUMBER -> number
     | QUANTITY -> quantity
     | STRING -> string
     | KIND -> kind
     | CONSTANT -> constant
     | ref
     | "{" (item ","?)* "}" -> record
     | "[" [element ("," element)* ","?] "]" -> list
     | "(" expr ")" -> group
?element: expr | "..." expr? -> rest
ref: (NAME | DEFINITION) ("." (NAME | DEFINITION | STRING))*

OPTIONAL: "?"
DEFAULT.1: "*"
TIMES: "*" | "/"
SIGN: "+" | "-"
BOUND: ">=" | "<=" | "!=" | ">" | "<"
KIND.3: /(?:string|number|int|bool|duration|rate|size|share)(?![\w$-])/
CONSTANT.3: /(?:true|false|null)(?![\w$-])/
QUANTITY.2: /\d+(?:\.\d+)?(?:[eE][+-]?\d+)?(?:[A-Za-z]|%)[A-Za-z0-9\/%]*/
NUMBER: /\d+(?:\.\d+)?(?:[eE][+-]?\d+)?/
DEFINITION: /#[A-Za-z_][\w-]*/
NAME: /[A-Za-z_][\w]*(?:-[\w]+)*/
STRING: /"(?:[^"\\\n]|\\.)*"/
COMMENT: /\/\/[^\n]*/
%import common.WS
%ignore WS
%ignore COMMENT
"""

TOKEN_DESCRIPTIONS = {
    "COLON": "':'",
    "COMMA": "','",
    "RBRACE": "'}'",
    "LBRACE": "'{'",
    "RSQB": "']'",
    "LSQB": "'['",
    "LPAR": "'('",
    "RPAR": "')'",
    "VBAR": "'|'",
    "AMPERSAND": "'&'",
    "NAME": "a name",
    "STRING": "a string",
    "NUMBER": "a number",
    "QUANTITY": "a quantity",
    "DEFINITION": "a definition",
    "$END": "the end",
    "EQUAL": "'='",
    "DOT": "'.'",
    "OPTIONAL": "'?'",
    "KIND": "a kind",
    "CONSTANT": "true, false or null",
    "INCLUDE": "include",
}


@dataclass(frozen=True)
class At:
    """A position in a file. Line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Mistake:
    """What is wrong, where, and a hint how to correct it."""

    at: At
    reason: str
    hint: str = ""

    def describe(self) -> str:
        """Returns the mistake as one line with position, reason and hint."""
        return f"{self.at}: {self.reason}" + (f" ({self.hint})" if self.hint else "")


@dataclass(eq=False)
class Node:
    at: At


@dataclass(eq=False)
class Literal(Node):
    exact: Exact


@dataclass(eq=False)
class Text(Node):
    """A string with interpolated values. The parts are strings and nodes."""

    parts: list[Any]


@dataclass(eq=False)
class KindOf(Node):
    kind: str


@dataclass(eq=False)
class Bound(Node):
    operator: str
    of: Node


@dataclass(eq=False)
class Choice(Node):
    parts: list[tuple[bool, Node]]


@dataclass(eq=False)
class Both(Node):
    parts: list[Node]


@dataclass(eq=False)
class Sum(Node):
    """Operands, each with the operator before it. The first has "+", "-" or "*"."""

    parts: list[tuple[str, Node]]


@dataclass(eq=False)
class Ref(Node):
    path: list[str]


@dataclass(eq=False)
class ListOf(Node):
    items: list[Node]
    rest: Node | None = None
    opened: bool = False


@dataclass(eq=False)
class Field(Node):
    name: str
    value: Node
    optional: bool = False


@dataclass(eq=False)
class Pattern(Node):
    variable: str
    value: Node


@dataclass(eq=False)
class Include(Node):
    files: str


@dataclass(eq=False)
class Record(Node):
    fields: list[Field]
    patterns: list[Pattern]
    includes: list[Include]
    opened: bool = False


class Malformed(Exception):
    """Raised for text that does not parse, with the mistake."""

    def __init__(self, mistake: Mistake) -> None:
        super().__init__(mistake.describe())
        self.mistake = mistake


@lru_cache(maxsize=1)
def parser() -> Lark:
    """Returns the parser, built once per process."""
    return Lark(
        GRAMMAR, parser="lalr", start=["start", "expr"], propagate_positions=False, maybe_placeholders=False
    )


@v_args(inline=True)
class _NodeBuilder(Transformer[Token, Any]):
    """Builds nodes from the parser's rules. Its public methods have the names of the grammar's rules."""

    def __init__(self, file: str, line: int = 1, column: int = 1) -> None:
        super().__init__()
        self.file, self.line, self.column = file, line, column

    def _at(self, token: Token) -> At:
        line = (token.line or 1) - 1 + self.line
        return At(self.file, line, (token.column or 1) + (self.column - 1 if line == self.line else 0))

    def start(self, *items: Any) -> Record:
        return self._record(At(self.file, self.line, 1), items)

    def _record(self, at: At, items: tuple[Any, ...]) -> Record:
        record = Record(at, [], [], [])
        for item in items:
            if isinstance(item, Field):
                record.fields.append(item)
            elif isinstance(item, Pattern):
                record.patterns.append(item)
            elif isinstance(item, Include):
                record.includes.append(item)
            else:
                record.opened = True
        return record

    def include(self, files: Token) -> Include:
        return Include(self._at(files), self._unquoted(files))

    def label(self, token: Token) -> tuple[At, str]:
        return self._at(token), self._unquoted(token) if token.type == "STRING" else str(token)

    def member(self, label: tuple[At, str], *rest: Any) -> Field:
        value = rest[-1]
        if isinstance(value, (Field, Pattern)):
            value = self._record(value.at, (value,))
        return Field(label[0], label[1], value, len(rest) > 1)

    def pattern(self, name: Token, value: Any) -> Pattern:
        if isinstance(value, (Field, Pattern)):
            value = self._record(value.at, (value,))
        return Pattern(self._at(name), str(name), value)

    def opened(self) -> str:
        return "..."

    def expr(self, *alternatives: Any) -> Node:
        if len(alternatives) == 1 and not alternatives[0][0]:
            return alternatives[0][1]  # type: ignore[no-any-return]
        return Choice(alternatives[0][1].at, list(alternatives))

    def alt(self, *parts: Any) -> tuple[bool, Node]:
        return len(parts) > 1, parts[-1]

    def conj(self, *parts: Any) -> Node:
        return parts[0] if len(parts) == 1 else Both(parts[0].at, list(parts))

    def sum(self, *parts: Any) -> Node:
        return self._chain("+", parts)

    def term(self, *parts: Any) -> Node:
        return self._chain("*", parts)

    def _chain(self, first: str, parts: tuple[Any, ...]) -> Node:
        if len(parts) == 1:
            return parts[0]  # type: ignore[no-any-return]
        pairs = [(first, parts[0])]
        pairs += [(str(parts[i]), parts[i + 1]) for i in range(1, len(parts), 2)]
        return Sum(parts[0].at, pairs)

    def minus(self, of: Node) -> Node:
        if isinstance(of, Literal) and isinstance(of.exact, Quantity):
            return Literal(of.at, Quantity(-of.exact.value, of.exact.kind))
        return Sum(of.at, [("-", of)])

    def bound(self, operator: Token, of: Node) -> Bound:
        return Bound(self._at(operator), str(operator), of)

    def number(self, token: Token) -> Literal:
        kind = "any" if self.file.endswith(".json") else "number"
        return Literal(self._at(token), Quantity(self._parse_with(token, parse_number), kind))

    def quantity(self, token: Token) -> Literal:
        return Literal(self._at(token), self._parse_with(token, parse_quantity))

    def _parse_with(self, token: Token, parse: Any) -> Any:
        try:
            return parse(str(token))
        except BadNumber as error:
            raise Malformed(Mistake(self._at(token), str(error))) from None

    def string(self, token: Token) -> Node:
        if "\\(" not in token:
            return Literal(self._at(token), self._unquoted(token))
        return self._interpolated(token)

    def _unquoted(self, token: Token) -> str:
        try:
            return str(json.loads(str(token)))
        except json.JSONDecodeError as error:
            raise Malformed(Mistake(self._at(token), f"in this string: {error.msg}")) from None

    def _interpolated(self, token: Token) -> Text:
        parts: list[Any] = []
        body, at = str(token)[1:-1], 0
        place = self._at(token)
        for match in re.finditer(r"\\(?:\(([^()\"]*)\)|.)", body):
            if match[1] is None:
                continue
            parts.append(self._unquoted(Token("STRING", f'"{body[at : match.start()]}"')))
            parts.append(_parsed(match[1], "expr", self.file, place.line, place.column + match.start(1) + 1))
            at = match.end()
        parts.append(self._unquoted(Token("STRING", f'"{body[at:]}"')))
        return Text(place, parts)

    def kind(self, token: Token) -> KindOf:
        return KindOf(self._at(token), str(token))

    def constant(self, token: Token) -> Literal:
        return Literal(self._at(token), {"true": True, "false": False, "null": None}[str(token)])

    def ref(self, *parts: Token) -> Ref:
        return Ref(self._at(parts[0]), [self._unquoted(p) if p.type == "STRING" else str(p) for p in parts])

    def record(self, *items: Any) -> Record:
        at = items[0].at if items and isinstance(items[0], Node) else At(self.file, self.line, 1)
        return self._record(at, items)

    def list(self, *items: Any) -> ListOf:
        elements = [i for i in items if not isinstance(i, tuple)]
        rest = next((i for i in items if isinstance(i, tuple)), None)
        at = elements[0].at if elements else rest[1].at if rest and rest[1] else At(self.file, self.line, 1)
        return ListOf(at, elements, rest[1] if rest else None, rest is not None)

    def rest(self, *of: Any) -> tuple[str, Any]:
        return "...", of[0] if of else None

    def group(self, of: Node) -> Node:
        return of


def _parsed(text: str, start: str, file: str, line: int = 1, column: int = 1) -> Any:
    tree = _NodeBuilder(file, line, column)
    try:
        return tree.transform(parser().parse(text, start=start))
    except VisitError as error:
        if isinstance(error.orig_exc, Malformed):
            raise error.orig_exc from None
        raise
    except UnexpectedInput as error:
        raise Malformed(_syntax_mistake(error, text, file, line)) from None


def _syntax_mistake(error: UnexpectedInput, text: str, file: str, line: int) -> Mistake:
    at = At(file, max(error.line, 1) - 1 + line, max(error.column, 1))
    if isinstance(error, UnexpectedCharacters):
        rest = text[error.pos_in_stream or 0 :]
        if rest.startswith('"'):
            return Mistake(at, "this string does not end on its line")
        return Mistake(at, f"{rest[:1]!r} has no meaning here")
    expected = error.accepts if isinstance(error, UnexpectedToken) and error.accepts else set()
    descriptions = sorted(TOKEN_DESCRIPTIONS[name] for name in expected if name in TOKEN_DESCRIPTIONS)
    hint = f"what can follow: {', '.join(descriptions[:8])}" if descriptions else ""
    if isinstance(error, UnexpectedEOF) or getattr(getattr(error, "token", None), "type", "") == "$END":
        lines = text.rstrip().split("\n")
        end = At(file, len(lines) - 1 + line, len(lines[-1]) + 1)
        return Mistake(end, "the text ends inside a record, list or value", hint)
    token = getattr(error, "token", "")
    return Mistake(at, f"{str(token)[:30]!r} is not expected here", hint)


def parse_text(text: str, file: str) -> tuple[Record, list[Mistake]]:
    """Parses a file's text.

    Returns its record without the parts that do not parse, and all mistakes found.
    """
    mistakes: list[Mistake] = []
    too_deep_line = _first_line_too_deep(text)
    if too_deep_line:
        return Record(At(file, 1, 1), [], [], []), [
            Mistake(At(file, too_deep_line, 1), f"more than {MAX_DEPTH} records and lists inside one another")
        ]
    record = Record(At(file, 1, 1), [], [], [])
    line = 1
    rest = text.removeprefix("\ufeff")
    if file.endswith(".json"):
        rest = _without_outer_braces(rest)
    while True:
        part, resume_index = rest, 0
        for _ in range(2):
            try:
                parsed = _parsed(part, "start", file, line)
                record.fields += parsed.fields
                record.patterns += parsed.patterns
                record.includes += parsed.includes
                record.opened |= parsed.opened
                break
            except Malformed as error:
                if resume_index:
                    break
                mistakes.append(error.mistake)
                # Second attempt without the broken part, which starts at the last unindented field before the
                # mistake.
                lines = rest.split("\n")
                broken = min(max(0, error.mistake.at.line - line), len(lines) - 1)
                first = max((i for i in range(broken + 1) if FIELD_START.match(lines[i])), default=0)
                resume_index = next(
                    (i for i in range(broken + 1, len(lines)) if FIELD_START.match(lines[i])), len(lines)
                )
                part = "\n".join(lines[:first])
        if not resume_index or len(mistakes) >= 50:
            return record, mistakes
        rest, line = "\n".join(rest.split("\n")[resume_index:]), line + resume_index
        if not rest.strip():
            return record, mistakes


FIELD_START = re.compile(r'[#A-Za-z_"\[]')
NESTING_TOKEN = re.compile(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|[\[{(]|[\]})]|\n')


def _first_line_too_deep(text: str) -> int:
    """Returns the first line at which nesting exceeds the limit, or 0 if none does."""
    depth, line = 0, 1
    for match in NESTING_TOKEN.finditer(text):
        token = match[0]
        if token == "\n":
            line += 1
        elif token in "[{(":
            depth += 1
            if depth > MAX_DEPTH:
                return line
        elif token in "]})":
            depth -= 1
    return 0


def _without_outer_braces(text: str) -> str:
    """Replaces the outer braces of a JSON file by spaces, since a file of the language has none."""
    inner = text.strip()
    if inner.startswith("{") and inner.endswith("}"):
        start = text.index("{")
        end = text.rindex("}")
        return text[:start] + " " + text[start + 1 : end] + " " + text[end + 1 :]
    return text


def tokens(text: str) -> Iterator[Token]:
    """Yields all tokens including comments, for the formatter."""
    return parser().lex(text, dont_ignore=True)
