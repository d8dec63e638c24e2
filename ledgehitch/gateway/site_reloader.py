"""Reloads of the site file: a version is checked in a child process, applied, and saved as the last good one.

The event loop never waits for a check. What is done with a version is decided in `config/change.py`.
"""

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import structlog

from ledgehitch.config import BadInput, Site, facts_of
from ledgehitch.config.change import Apply, Keep, Refuse, Reloads, Version
from ledgehitch.config.load import digest_of
from ledgehitch.loop import Child, Loop, TimedOut

CHECK_TIMEOUT_S = 30.0  # for reading and checking a version
log = structlog.get_logger("config")


class CompiledSite(msgspec.Struct):
    """A checked version of the site, as the child process writes it and as it is saved on disk."""

    digest: str = ""
    data: Any = None
    site: Site | None = None
    mistakes: list[str] = []


def compile_command(path: Path) -> list[str]:
    return [sys.executable, "-m", "ledgehitch", "--log-level", "error", "config", "compile", str(path)]


class SiteReloader:
    """Reloads the site of one gateway. `apply` is called with each site that takes effect."""

    def __init__(
        self,
        loop: Loop,
        source: Path,
        first: CompiledSite,
        last_good_path: Path | None,
        apply: Callable[[Site], None],
        gateway: str = "",
        viewing_count: Callable[[], int] = lambda: 0,
    ) -> None:
        self.loop, self.source, self.last_good_path, self.apply = loop, source, last_good_path, apply
        self.viewing_count = viewing_count
        self.reloads = Reloads(Version(0, first.digest, first.data), gateway)
        self._sites: dict[str, CompiledSite] = {first.digest: first}
        self._serial = 0
        self._save(first)

    def reload(self) -> None:
        """Starts a reload. Several may be in progress; the last one requested takes effect."""
        self._serial += 1
        self.loop.spawn(self._check, self._serial, name=f"reload {self._serial}")

    def set_draining(self, draining: bool) -> None:
        self.reloads.on_drain(draining)
        self._pull()

    def _check(self, serial: int) -> None:
        result_path = self.source.parent / f".{self.source.name}.{os.getpid()}.{serial}"
        result_path = (
            (self.last_good_path.parent / result_path.name)
            if self.last_good_path is not None
            else result_path
        )
        try:
            descriptor = os.open(result_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                child = Child(self.loop, compile_command(self.source), "check", descriptor, descriptor)
            finally:
                os.close(descriptor)
            try:
                with self.loop.deadline(CHECK_TIMEOUT_S):
                    child.wait()
            except TimedOut:
                child.terminate(0.5)
            found = msgspec.json.decode(result_path.read_bytes(), type=CompiledSite)
        except (OSError, msgspec.MsgspecError) as problem:
            found = CompiledSite(mistakes=[f"{self.source} could not be checked: {problem}"])
        finally:
            result_path.unlink(missing_ok=True)
        if found.site is not None:
            self._sites[found.digest] = found
        self.reloads.on_version(
            Version(serial, found.digest, found.data), found.mistakes, self.viewing_count()
        )
        self._pull()

    def _pull(self) -> None:
        while (decision := self.reloads.decide()) is not None:
            match decision:
                case Apply(version, waits, steps):
                    site = self._sites[version.digest].site
                    assert site is not None
                    self.apply(site)
                    log.info(
                        "a new version of the site is in use",
                        digest=version.digest[:16],
                        waits_for_restart=list(waits),
                        titles=[f"{step} {title}" for step, title in steps[:20]],
                    )
                case Keep(version):
                    self._save(self._sites[version.digest])
                case Refuse(digest, reason):
                    log.error(
                        "a version of the site is refused, keeping the one in use",
                        digest=digest[:16],
                        why=reason,
                    )
        known = (self.reloads.running.digest, self.reloads.newest.digest)
        self._sites = {digest: site for digest, site in self._sites.items() if digest in known}

    def _save(self, compiled: CompiledSite) -> None:
        if self.last_good_path is None:
            return
        self.last_good_path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self.last_good_path.with_suffix(".new")
        temporary.write_bytes(msgspec.json.encode(compiled))
        os.replace(temporary, self.last_good_path)


def load_last_good(path: Path | None) -> CompiledSite | None:
    """Returns the version saved on disk if its digest matches its data, else None."""
    if path is None:
        return None
    try:
        saved = msgspec.json.decode(path.read_bytes(), type=CompiledSite)
    except (OSError, msgspec.MsgspecError):
        return None
    return saved if saved.site is not None and digest_of(saved.data) == saved.digest else None


def load_first_version(
    source: Path, last_good_path: Path | None, check: Callable[[Path], CompiledSite]
) -> CompiledSite:
    """Returns the version to start with: the files, or the last good version if they have mistakes."""
    found = check(source)
    if not found.mistakes and found.site is not None:
        return found
    last_good = load_last_good(last_good_path)
    if last_good is None:
        raise BadInput("\n".join(found.mistakes) or f"{source}: nothing there")
    log.error(
        "THE SITE FILES HAVE MISTAKES, starting with the last good version",
        digest=last_good.digest[:16],
        mistakes=found.mistakes,
    )
    return last_good


def load_start_version(
    source: Path, name: str | None, state_dir: Path | None
) -> tuple[Site, str, tuple[Path, CompiledSite, Path | None]]:
    """Returns the site, the name of this gateway and the source for reloads.

    Without `name` it is the site's first gateway. The source consists of the file, the first version and the
    path of the last good version."""
    last_good_path = state_dir / f"{name or 'gateway'}.site.json" if state_dir is not None else None
    first = load_first_version(source, last_good_path, compile_site)
    site = first.site
    assert site is not None
    name = name if name is not None else site.gateways[0].name
    try:
        facts_of(site, name)
    except BadInput as error:
        raise BadInput(f"{source}: {error}") from None
    return site, name, (source, first, last_good_path)


def compile_site(source: Path) -> CompiledSite:
    """Reads and checks a version of the site in this process."""
    from ledgehitch.config import read_site
    from ledgehitch.config.load import load

    if source.suffix != ".json":
        loaded = load(source)
        if loaded.mistakes or loaded.site is None:
            return CompiledSite(
                mistakes=[m.describe() for m in loaded.mistakes] or [f"{source}: nothing there"]
            )
        return CompiledSite(loaded.digest(), loaded.data, loaded.site)
    try:
        site = read_site(source)
    except BadInput as error:
        return CompiledSite(mistakes=[str(error)])
    data = msgspec.to_builtins(site)
    return CompiledSite(digest_of(data), data, site)
