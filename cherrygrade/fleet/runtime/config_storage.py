"""Where a dispatcher keeps its configuration on disk, or why it keeps it in memory alone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from cherrygrade.fleet.config.replica_messages import StoredConfig
from cherrygrade.fleet.runtime.sealed_file import SealedFile, SealedFileError

LEAVE_TIMEOUT_S = 0.5  # for the disk, as this dispatcher leaves


class ConfigStorage:
    """Loads and saves the configuration in a thread of its own, and logs what the disk can't do.

    Attributes:
        file: The file; None where the settings name none.
        trouble: Why the last configuration is in memory alone; "" where it is on disk.
        saves: Configurations written, in all.
    """

    def __init__(self, path: str, log: Callable[..., None]) -> None:
        """Take the path of the file ("" for none), and what writes a log line."""
        self.file = SealedFile(Path(path)) if path else None
        self.trouble = "" if path else "kept in memory alone"
        self.saves = 0
        self._log = log
        self._thread = ThreadPoolExecutor(1, "configuration disk")

    @property
    def location(self) -> str:
        """Where the configuration is kept, or why it is not: for people."""
        return self.trouble or str(self.file.path if self.file is not None else "")

    async def load(self) -> StoredConfig | None:
        """Return what was saved; a file that can't be trusted is put aside and counts as none."""
        if self.file is None:
            self._log("configuration is kept in memory alone", do="Name fleet.config_file to keep it.")
            return None
        loop = asyncio.get_running_loop()
        try:
            body = await loop.run_in_executor(self._thread, self.file.load)
            return msgspec.msgpack.decode(body, type=StoredConfig) if body else None
        except (SealedFileError, msgspec.MsgspecError, UnicodeDecodeError, OSError) as error:
            try:
                aside: object = await loop.run_in_executor(self._thread, self.file.quarantine)
            except OSError as rename_error:
                aside = f"nowhere: {rename_error}"
            self._log(
                "configuration torn",
                what=str(error),
                means="This dispatcher serves on its own file until it has the fleet's version again.",
                aside=str(aside),
            )
            return None

    async def save(self, config: StoredConfig) -> str:
        """Write a configuration before it goes into force.

        Where the disk can't be written, the configuration goes into force all the same, unless an older file
        can't be removed either: that one would come back into force with the next start.

        Returns:
            Why the configuration may not go into force; "" where it may.
        """
        if self.file is None:
            return ""
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._thread, self.file.save, msgspec.msgpack.encode(config))
        except OSError as error:
            self.trouble = f"{self.file.path} takes nothing: {error.strerror or error}"
            means = "It goes into force here and is asked for again after a restart."
            self._log("configuration not kept", what=self.trouble, means=means, do="Make room there.")
        else:
            self.saves += 1
            self.trouble = ""
            return ""
        try:
            await loop.run_in_executor(self._thread, self.file.remove)
        except OSError as error:
            return f"can't keep it: {error.strerror or error}"
        return ""

    @property
    def has_left(self) -> bool:
        """Whether this dispatcher left on purpose and has not been sure of its configuration since."""
        return self.file is not None and self.file.has_leave_marker

    def record_leaving(self) -> None:
        """Write down that this dispatcher leaves on purpose; blocks for LEAVE_TIMEOUT_S at most."""
        if self.file is None:
            return
        try:
            self._thread.submit(self.file.set_leave_marker).result(LEAVE_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            self._log("configuration not kept", what=f"that this one leaves: {error}")

    def forget_leaving(self) -> None:
        """Remove the record that this dispatcher left, in the background."""
        if self.file is not None:
            self._thread.submit(self.file.set_leave_marker, False)

    def close(self) -> None:
        """Let the thread end behind its last write."""
        self._thread.shutdown(wait=False)
