"""Files of the language into one result: includes, limits, the schema, and the site that it comes to.

Reads files and nothing else. Includes are relative to the file, never outside the folder of the first one.
"""

import os
from dataclasses import dataclass, field
from functools import lru_cache
from importlib.resources import files
from pathlib import Path
from typing import Any

import msgspec
from blake3 import blake3

from ledgehitch.config.evaluate import Evaluation, TooMuch, Vertex
from ledgehitch.config.read import BadInput
from ledgehitch.config.site import Site, check
from ledgehitch.config.syntax import MOST_BYTES, SCHEMA, At, Include, Mistake, Node, Record, Ref, read

MOST_FILES = 500
MOST_TOTAL = 16 << 20  # bytes of all files together


@dataclass
class Loaded:
    """What files come to. With mistakes, `data` and `site` are not to be used."""

    root: Path
    texts: dict[str, str] = field(default_factory=dict)  # by name, for showing lines
    mistakes: list[Mistake] = field(default_factory=list)
    data: Any = None
    site: Site | None = None
    evaluation: Evaluation = field(default_factory=Evaluation)
    vertex: Vertex | None = None

    def line(self, at: At) -> str:
        lines = self.texts.get(at.file, "").split("\n")
        return lines[at.line - 1] if 0 < at.line <= len(lines) else ""

    def digest(self) -> str:
        return digest_of(self.data)


def canonical(data: Any) -> bytes:
    return msgspec.json.encode(data, order="deterministic")


def digest_of(data: Any) -> str:
    return blake3(canonical(data)).hexdigest()


@lru_cache(maxsize=1)
def schema() -> Record:
    text = files("ledgehitch.config").joinpath("schema.lh").read_text("utf-8")
    record, mistakes = read(text, SCHEMA)
    assert not mistakes, mistakes
    return record


class _Reader:
    def __init__(self, loaded: Loaded) -> None:
        self.loaded = loaded
        self.records: list[Record] = []
        self.done: set[Path] = set()
        self.total = 0

    def wrong(self, at: At, reason: str, hint: str = "") -> None:
        self.loaded.mistakes.append(Mistake(at, reason, hint))

    def file(self, path: Path, at: At | None, chain: list[Path]) -> None:
        """Reads one file and what it includes; `chain` is how it was come to."""
        name = self.name(path)
        at = at or At(name, 1, 1)
        real = path.resolve()
        if real in [p.resolve() for p in chain]:
            loop = " -> ".join(self.name(p) for p in [*chain, path])
            self.wrong(at, f"files include one another in a loop: {loop}")
            return
        if not real.is_relative_to(self.loaded.root):
            self.wrong(at, f"{name} lies outside {self.loaded.root.name}/, where the first file is")
            return
        if real in self.done:
            return
        self.done.add(real)
        if len(self.done) > MOST_FILES:
            self.wrong(at, f"more than {MOST_FILES} files")
            return
        text = self.text(path, name, at)
        if text is None:
            return
        self.loaded.texts[name] = text
        record, mistakes = read(text, name)
        self.loaded.mistakes += mistakes
        self.records.append(record)
        for include in record.includes:
            self.include(path, include, [*chain, path])

    def include(self, path: Path, include: Include, chain: list[Path]) -> None:
        if os.path.isabs(include.files) or not include.files:
            self.wrong(include.at, "an include names files relative to its own file")
            return
        found = (
            sorted(path.parent.glob(include.files))
            if any(c in include.files for c in "*?[")
            else [path.parent / include.files]
        )
        if not found:
            self.wrong(include.at, f"no file is called {include.files!r}")
        for one in found:
            self.file(one, include.at, chain)

    def text(self, path: Path, name: str, at: At) -> str | None:
        try:
            for _ in range(3):
                before = os.stat(path)
                if before.st_size > MOST_BYTES:
                    self.wrong(
                        at, f"{name} has {before.st_size} bytes, a file may have {MOST_BYTES}; split it"
                    )
                    return None
                with open(path, "rb") as file:
                    data = file.read(MOST_BYTES + 1)
                after = os.stat(path)
                # Guards against half of an old and half of a new file, swapped while it was read.
                if (before.st_ino, before.st_mtime_ns, before.st_size, len(data)) == (
                    after.st_ino,
                    after.st_mtime_ns,
                    after.st_size,
                    after.st_size,
                ):
                    break
            else:
                self.wrong(at, f"{name} changes while it is read")
                return None
        except OSError as problem:
            self.wrong(at, f"{name} cannot be read: {problem.strerror}")
            return None
        self.total += len(data)
        if self.total > MOST_TOTAL:
            self.wrong(at, f"all files together have more than {MOST_TOTAL} bytes")
            return None
        try:
            return data.decode("utf-8")
        except UnicodeDecodeError as wrong:
            line = data.count(b"\n", 0, wrong.start) + 1
            self.wrong(At(name, line, 1), f"byte {wrong.start} is not UTF-8")
            return None

    def name(self, path: Path) -> str:
        absolute = Path(os.path.abspath(path))
        return (
            str(absolute.relative_to(self.loaded.root))
            if absolute.is_relative_to(self.loaded.root)
            else str(path)
        )


def load(path: Path, kind: str = "#Site") -> Loaded:
    """All that a file and its includes come to, checked against the schema's `kind`."""
    loaded = Loaded(path.parent.resolve())
    reader = _Reader(loaded)
    reader.file(path, None, [])
    if not reader.records:
        return loaded
    evaluate(loaded, reader.records, kind)
    return loaded


def load_text(text: str, name: str = "text", kind: str = "#Site") -> Loaded:
    """The same of one text without includes."""
    loaded = Loaded(Path("/"))
    loaded.texts[name] = text
    record, loaded.mistakes = read(text, name)
    for include in record.includes:
        loaded.mistakes.append(Mistake(include.at, "a text that is no file cannot include others"))
    evaluate(loaded, [record], kind)
    return loaded


def evaluate(loaded: Loaded, records: list[Record], kind: str) -> None:
    e = loaded.evaluation
    e.partial = bool(loaded.mistakes)
    used: list[Node] = [Ref(At(SCHEMA, 1, 1), [kind])] if kind else []
    try:
        top = e.root([*records, *([schema()] if kind else [])])
        # Names of the schema are seen by all files; the result itself is of its kind.
        for said in top.said:
            assert said.scope is not None
        body = Vertex(())
        scope = top.said[0].scope
        for record in records:
            fields = [f for f in record.fields if not f.name.startswith("#")]
            part = Record(record.at, fields, record.patterns, [], record.opened)
            body.said.append(_said(part, scope))
        for node in used:
            body.said.append(_said(node, scope, kind))
        e.work_out(top)
        for name, vertex in top.fields.items():
            if name.startswith("#") and not _of_schema(vertex):
                e.sound(vertex)
        loaded.vertex = body
        if not e.mistakes:
            loaded.data = e.result(body)
    except TooMuch as much:
        e.mistakes.append(much.mistake)
    loaded.mistakes += e.mistakes
    if not loaded.mistakes and kind == "#Site":
        from ledgehitch.config.compiled import compiled

        compiled(loaded)


def _said(node: Node, scope: Any, through: str = "") -> Any:
    from ledgehitch.config.evaluate import Said

    return Said(node, scope, None, through)


def _of_schema(vertex: Vertex) -> bool:
    return all(s.node.at.file == SCHEMA for s in vertex.said)


def read_site_text(path: Path) -> Site:
    """A site in the language; raises `BadInput` with all mistakes."""
    loaded = load(path)
    if loaded.mistakes or loaded.site is None:
        raise BadInput("\n".join(m.describe() for m in loaded.mistakes) or f"{path}: nothing there")
    check(loaded.site, str(path))
    return loaded.site
