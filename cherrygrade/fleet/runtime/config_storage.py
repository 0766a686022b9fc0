"""Stores a dispatcher's configuration on disk, or reports why it is in memory only."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from cherrygrade.fleet.config.replica_messages import StoredConfig
from cherrygrade.fleet.runtime.sealed_file import SealedFile, SealedFileError

LEAVE_TIMEOUT_S = 0.5  # for writing the leave marker to disk


class ConfigStorage:
    """Loads and saves the configuration in a thread of its own, and logs faults of the disk.

    Attributes:
        file: The file; None where the settings name none.
        fault: The reason why the last configuration is in memory only; "" where it is on disk.
        saves: Configurations written, in total.
    """

    def __init__(self, path: str, log: Callable[..., None]) -> None:
        """Take the settings and the log.

        Args:
            path: Path of the file; "" for none.
            log: Writes a log line with an event and facts.
        """
        self.file = SealedFile(Path(path)) if path else None
        self.fault = "" if path else "stored in memory only"
        self.saves = 0
        self._log = log
        self._thread = ThreadPoolExecutor(1, "configuration disk")

    @property
    def location(self) -> str:
        """The file that stores the configuration, or the reason why it is not on disk; for operators."""
        return self.fault or str(self.file.path if self.file is not None else "")

    async def load(self) -> StoredConfig | None:
        """Return the configuration that was saved last.

        Returns:
            None where there is no file. A file that is damaged or can't be read is quarantined and logged,
            and counts as none.
        """
        if self.file is None:
            self._log("configuration stored in memory only", do="Set fleet.config_file to store it on disk.")
            return None
        loop = asyncio.get_running_loop()
        try:
            body = await loop.run_in_executor(self._thread, self.file.load)
            return msgspec.msgpack.decode(body, type=StoredConfig) if body else None
        except (SealedFileError, msgspec.MsgspecError, UnicodeDecodeError, OSError) as error:
            try:
                quarantined: object = await loop.run_in_executor(self._thread, self.file.quarantine)
            except OSError as rename_error:
                quarantined = f"not quarantined: {rename_error}"
            self._log(
                "configuration file damaged",
                what=str(error),
                means="This dispatcher uses its own settings file until it has fetched the fleet's version.",
                aside=str(quarantined),
            )
            return None

    async def save(self, config: StoredConfig) -> str:
        """Write a configuration to disk before it is put in force.

        Where the disk can't be written, the configuration may be put in force all the same, and the older
        file is removed. Where that fails too, the configuration is refused: with the next start the older
        file would come into force again.

        Returns:
            The reason why the configuration may not be put in force; "" where it may.
        """
        if self.file is None:
            return ""
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._thread, self.file.save, msgspec.msgpack.encode(config))
        except OSError as error:
            self.fault = f"can't write {self.file.path}: {error.strerror or error}"
            means = "The configuration is in force in memory only, and is fetched again after a restart."
            self._log("configuration not saved", what=self.fault, means=means, do="Free space on that disk.")
        else:
            self.saves += 1
            self.fault = ""
            return ""
        try:
            await loop.run_in_executor(self._thread, self.file.remove)
        except OSError as error:
            return f"can't remove the older {self.file.path}: {error.strerror or error}"
        return ""

    @property
    def has_left(self) -> bool:
        """Whether this dispatcher left on purpose and has not been certain of its configuration since."""
        return self.file is not None and self.file.has_leave_marker

    def record_leaving(self) -> None:
        """Write the leave marker: this dispatcher leaves on purpose. Blocks for at most LEAVE_TIMEOUT_S."""
        if self.file is None:
            return
        try:
            self._thread.submit(self.file.set_leave_marker).result(LEAVE_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            self._log("configuration not saved", what=f"can't write the leave marker: {error}")

    def forget_leaving(self) -> None:
        """Remove the leave marker, in the background."""
        if self.file is not None:
            self._thread.submit(self.file.set_leave_marker, False)

    def close(self) -> None:
        """End the thread after its last write, without waiting for it."""
        self._thread.shutdown(wait=False)
