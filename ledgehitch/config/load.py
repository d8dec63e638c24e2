"""Loads files of the configuration language: includes, limits, schema check and the resulting site.

The only I/O is reading files. Includes are relative to the including file and must lie in the first file's
directory.
"""

import os
from dataclasses import dataclass, field
from functools import lru_cache
from importlib.resources import files
from pathlib import Path
from typing import Any

import msgspec
from blake3 import blake3

from ledgehitch.config.evaluate import Evaluation, ResultTooLarge, Vertex
from ledgehitch.config.read import BadInput
from ledgehitch.config.site import Site, check
from ledgehitch.config.syntax import (
    MAX_FILE_BYTES,
    SCHEMA,
    At,
    Include,
    Mistake,
    Node,
    Record,
    Ref,
    parse_text,
)

MAX_FILES = 500
MAX_TOTAL_BYTES = 16 << 20  # of all files together


@dataclass
class Loaded:
    """The result of loading files. If there are mistakes, `data` and `site` must not be used."""

    root: Path
    texts: dict[str, str] = field(default_factory=dict)  # by file name, for messages that show a line
    mistakes: list[Mistake] = field(default_factory=list)
    data: Any = None
    site: Site | None = None
    evaluation: Evaluation = field(default_factory=Evaluation)
    vertex: Vertex | None = None

    def line(self, at: At) -> str:
        """Returns the text of the line at a position, empty if there is none."""
        lines = self.texts.get(at.file, "").split("\n")
        return lines[at.line - 1] if 0 < at.line <= len(lines) else ""

    def digest(self) -> str:
        return digest_of(self.data)


def canonical(data: Any) -> bytes:
    """Returns the canonical JSON of plain data, the same for the same content."""
    return msgspec.json.encode(data, order="deterministic")


def digest_of(data: Any) -> str:
    """Returns the hexadecimal BLAKE3 digest of the canonical JSON."""
    return blake3(canonical(data)).hexdigest()


@lru_cache(maxsize=1)
def schema() -> Record:
    """Returns the syntax tree of the built-in schema, parsed once per process."""
    text = files("ledgehitch.config").joinpath("schema.lh").read_text("utf-8")
    record, mistakes = parse_text(text, SCHEMA)
    assert not mistakes, mistakes
    return record


class _Reader:
    def __init__(self, loaded: Loaded) -> None:
        self.loaded = loaded
        self.records: list[Record] = []
        self.visited: set[Path] = set()
        self.total_bytes = 0

    def add_mistake(self, at: At, reason: str, hint: str = "") -> None:
        self.loaded.mistakes.append(Mistake(at, reason, hint))

    def read_file(self, path: Path, at: At | None, chain: list[Path]) -> None:
        """Reads one file and its includes. `chain` holds the including files, first to last."""
        name = self.display_name(path)
        at = at or At(name, 1, 1)
        resolved = path.resolve()
        if resolved in [p.resolve() for p in chain]:
            loop = " -> ".join(self.display_name(p) for p in [*chain, path])
            self.add_mistake(at, f"files include one another in a loop: {loop}")
            return
        if not resolved.is_relative_to(self.loaded.root):
            self.add_mistake(at, f"{name} lies outside {self.loaded.root.name}/, where the first file is")
            return
        if resolved in self.visited:
            return
        self.visited.add(resolved)
        if len(self.visited) > MAX_FILES:
            self.add_mistake(at, f"more than {MAX_FILES} files")
            return
        text = self.read_text(path, name, at)
        if text is None:
            return
        self.loaded.texts[name] = text
        record, mistakes = parse_text(text, name)
        self.loaded.mistakes += mistakes
        self.records.append(record)
        for include in record.includes:
            self.read_include(path, include, [*chain, path])

    def read_include(self, path: Path, include: Include, chain: list[Path]) -> None:
        if os.path.isabs(include.files) or not include.files:
            self.add_mistake(include.at, "an include names files relative to its own file")
            return
        found = (
            sorted(path.parent.glob(include.files))
            if any(c in include.files for c in "*?[")
            else [path.parent / include.files]
        )
        if not found:
            self.add_mistake(include.at, f"no file is called {include.files!r}")
        for included in found:
            self.read_file(included, include.at, chain)

    def read_text(self, path: Path, name: str, at: At) -> str | None:
        try:
            for _ in range(3):
                before = os.stat(path)
                if before.st_size > MAX_FILE_BYTES:
                    self.add_mistake(
                        at, f"{name} has {before.st_size} bytes, a file may have {MAX_FILE_BYTES}; split it"
                    )
                    return None
                with open(path, "rb") as file:
                    data = file.read(MAX_FILE_BYTES + 1)
                after = os.stat(path)
                # A file replaced during the read could give half of the old and half of the new content.
                if (before.st_ino, before.st_mtime_ns, before.st_size, len(data)) == (
                    after.st_ino,
                    after.st_mtime_ns,
                    after.st_size,
                    after.st_size,
                ):
                    break
            else:
                self.add_mistake(at, f"{name} changes while it is read")
                return None
        except OSError as error:
            self.add_mistake(at, f"{name} cannot be read: {error.strerror}")
            return None
        self.total_bytes += len(data)
        if self.total_bytes > MAX_TOTAL_BYTES:
            self.add_mistake(at, f"all files together have more than {MAX_TOTAL_BYTES} bytes")
            return None
        try:
            return data.decode("utf-8")
        except UnicodeDecodeError as error:
            line = data.count(b"\n", 0, error.start) + 1
            self.add_mistake(At(name, line, 1), f"byte {error.start} is not UTF-8")
            return None

    def display_name(self, path: Path) -> str:
        """Returns the path relative to the root directory, or the path itself outside it."""
        absolute = Path(os.path.abspath(path))
        return (
            str(absolute.relative_to(self.loaded.root))
            if absolute.is_relative_to(self.loaded.root)
            else str(path)
        )


def load(path: Path, kind: str = "#Site") -> Loaded:
    """Loads a file and its includes and checks them against the definition `kind` of the schema."""
    loaded = Loaded(path.parent.resolve())
    reader = _Reader(loaded)
    reader.read_file(path, None, [])
    if not reader.records:
        return loaded
    evaluate(loaded, reader.records, kind)
    return loaded


def load_text(text: str, name: str = "text", kind: str = "#Site") -> Loaded:
    """Loads one text without includes and checks it against the definition `kind` of the schema."""
    loaded = Loaded(Path("/"))
    loaded.texts[name] = text
    record, loaded.mistakes = parse_text(text, name)
    for include in record.includes:
        loaded.mistakes.append(Mistake(include.at, "a text that is no file cannot include others"))
    evaluate(loaded, [record], kind)
    return loaded


def evaluate(loaded: Loaded, records: list[Record], kind: str) -> None:
    """Evaluates the parsed files and sets `data`, `vertex` and `site` of `loaded`, or adds mistakes."""
    evaluation = loaded.evaluation
    evaluation.partial = bool(loaded.mistakes)
    kind_references: list[Node] = [Ref(At(SCHEMA, 1, 1), [kind])] if kind else []
    try:
        top = evaluation.root([*records, *([schema()] if kind else [])])
        # All files can use the names of the schema. The result itself is unified with its kind.
        for conjunct in top.conjuncts:
            assert conjunct.scope is not None
        body = Vertex(())
        scope = top.conjuncts[0].scope
        for record in records:
            fields = [f for f in record.fields if not f.name.startswith("#")]
            part = Record(record.at, fields, record.patterns, [], record.opened)
            body.conjuncts.append(_conjunct(part, scope))
        for node in kind_references:
            body.conjuncts.append(_conjunct(node, scope, kind))
        evaluation.evaluate(top)
        for name, vertex in top.fields.items():
            if name.startswith("#") and not _is_from_schema(vertex):
                evaluation.check_definition(vertex)
        loaded.vertex = body
        if not evaluation.mistakes:
            loaded.data = evaluation.result(body)
    except ResultTooLarge as error:
        evaluation.mistakes.append(error.mistake)
    loaded.mistakes += evaluation.mistakes
    if not loaded.mistakes and kind == "#Site":
        from ledgehitch.config.compiled import compile_site

        compile_site(loaded)


def _conjunct(node: Node, scope: Any, through: str = "") -> Any:
    from ledgehitch.config.evaluate import Conjunct

    return Conjunct(node, scope, None, through)


def _is_from_schema(vertex: Vertex) -> bool:
    return all(s.node.at.file == SCHEMA for s in vertex.conjuncts)


def read_site_text(path: Path) -> Site:
    """Reads a site in the configuration language. Raises `BadInput` with all mistakes."""
    loaded = load(path)
    if loaded.mistakes or loaded.site is None:
        raise BadInput("\n".join(m.describe() for m in loaded.mistakes) or f"{path}: nothing there")
    check(loaded.site, str(path))
    return loaded.site
