"""Follows the list service: takes complete host lists and changes, and saves them for the next start."""

import os
import random
import time
from pathlib import Path

import msgspec
import structlog

from ledgehitch.gateway.executor import Executor
from ledgehitch.gateway.host_list import RECONNECT_DELAY_S, HostList, HostListUpdate
from ledgehitch.http import ConnectFailed, Interrupted, parse_events
from ledgehitch.loop import Loop, TimedOut

log = structlog.get_logger("list")


class HostListClient:
    """Keeps one gateway's host list up to date and passes each update to the executor."""

    def __init__(
        self, loop: Loop, executor: Executor, address: str, name: str, snapshot_path: Path | None
    ) -> None:
        self.loop, self.executor, self.address, self.name, self.snapshot_path = (
            loop,
            executor,
            address,
            name,
            snapshot_path,
        )
        self.host_list = HostList()
        self.random = random.Random(name)

    def run(self) -> None:
        """Runs as a task until it is cancelled."""
        self._load_snapshot()
        while True:
            try:
                with self.executor.client.stream(self.address, f"/hosts?gateway={self.name}") as (
                    response,
                    parts,
                ):
                    if response.status == 200:
                        for name, _, data in parse_events(parts):
                            if not self._on_event(name, data):
                                break
            except (ConnectFailed, Interrupted, TimedOut, ValueError) as why:
                log.debug("list stream ended", why=str(why))
            self.executor.module.on_host_list(time.monotonic(), "lost", ())
            self.executor.wake()
            self.loop.sleep(RECONNECT_DELAY_S[0] + RECONNECT_DELAY_S[1] * self.random.random())

    def _on_event(self, name: str, data: str) -> bool:
        """Applies one event; returns False if the stream has a gap, so that it is opened again."""
        if name not in ("total", "incr"):
            return True
        update = msgspec.json.decode(data, type=HostListUpdate)
        rows = (
            self.host_list.apply_full_list(update)
            if name == "total"
            else self.host_list.apply_changes(update)
        )
        if rows is None:
            log.warning(
                "list update does not follow the known version",
                what=name,
                version=update.version,
                known=self.host_list.version,
            )
            return name == "total"
        if rows:
            self.executor.on_host_list(name, list(rows), time.time() - time.monotonic())
            self._save_snapshot()
        return True

    def _load_snapshot(self) -> None:
        if self.snapshot_path is None or not self.snapshot_path.exists():
            return
        try:
            update = msgspec.json.decode(self.snapshot_path.read_bytes(), type=HostListUpdate)
        except (OSError, msgspec.MsgspecError) as why:
            log.warning("cannot read the saved host list", path=str(self.snapshot_path), why=str(why))
            return
        self.executor.on_host_list("warm_copy", update.rows, time.time() - time.monotonic())

    def _save_snapshot(self) -> None:
        if self.snapshot_path is None:
            return
        self.snapshot_path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self.snapshot_path.with_suffix(".new")
        temporary.write_bytes(msgspec.json.encode(self.host_list.snapshot()))
        os.replace(temporary, self.snapshot_path)
