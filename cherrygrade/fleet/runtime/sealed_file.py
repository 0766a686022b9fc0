"""The file that stores a dispatcher's configuration across restarts.

A new version is written to a second file and synced, renamed over the one before, and the folder is synced.
At whatever point the machine stops, the file under the name is the complete old version or the complete new
one. The file starts with a format tag and a SHA-256 digest (FIPS 180-4) over the tag and the body. A file
that does not match its digest is quarantined: it is renamed for operators to inspect, and never read again.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path

FORMAT_TAG = b"cgK1"
DIGEST_BYTES = hashlib.sha256().digest_size
MAX_FILE_BYTES = 4 * 1024 * 1024  # a longer file was not written by this program
MAX_QUARANTINED_FILES = 10**6


class SealedFileError(Exception):
    """The file's content is not what was saved; the message says what is wrong with it.

    The caller quarantines the file and continues as if there were none.
    """


def seal(body: bytes) -> bytes:
    """Return the content of a file that holds `body`."""
    return FORMAT_TAG + hashlib.sha256(FORMAT_TAG + body).digest() + body


def unseal(data: bytes) -> bytes:
    """Return the body that a file's content holds.

    Raises:
        SealedFileError: The content is not exactly what `seal` returned.
    """
    header_bytes = len(FORMAT_TAG) + DIGEST_BYTES
    if len(data) < header_bytes:
        raise SealedFileError(f"file truncated: {len(data)} bytes, expected at least {header_bytes}")
    if data[: len(FORMAT_TAG)] != FORMAT_TAG:
        raise SealedFileError(f"expected format tag {FORMAT_TAG!r}, got {data[: len(FORMAT_TAG)]!r}")
    body = data[header_bytes:]
    if data[len(FORMAT_TAG) : header_bytes] != hashlib.sha256(FORMAT_TAG + body).digest():
        raise SealedFileError("the SHA-256 digest in the file does not match the content")
    return body


class SealedFile:
    """One dispatcher's configuration file, and the leave marker beside it.

    The leave marker is an empty file that exists while the dispatcher has left the fleet on purpose. All
    methods block on the disk: call them in a thread.

    Attributes:
        path: The file. Appended to its name are `.new` for the version that is being written, `.left` for the
            leave marker, and `.aside-N` for quarantined files.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._new_path = path.with_name(path.name + ".new")
        self._leave_marker = path.with_name(path.name + ".left")

    def load(self) -> bytes:
        """Return the body that was saved last, or b"" where there is no file.

        Raises:
            SealedFileError: There is a file, and its content is not what was saved.
            OSError: The file could not be read.
        """
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return b""
        if len(data) > MAX_FILE_BYTES:
            raise SealedFileError(f"file too long: expected at most {MAX_FILE_BYTES} bytes")
        return unseal(data)

    def save(self, body: bytes) -> None:
        """Replace the file's body; it is on disk when this returns.

        Raises:
            OSError: The file could not be written; it has its former content.
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with self._new_path.open("wb") as file:
            file.write(seal(body))
            file.flush()
            os.fsync(file.fileno())
        self._new_path.replace(self.path)
        self._sync_folder()

    @property
    def has_leave_marker(self) -> bool:
        """Whether the leave marker exists."""
        return self._leave_marker.exists()

    def set_leave_marker(self, present: bool = True) -> None:
        """Write or remove the leave marker; the change is on disk when this returns.

        Raises:
            OSError: The marker could not be written or removed.
        """
        if present:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            self._leave_marker.touch()
        else:
            self._leave_marker.unlink(missing_ok=True)
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self) -> None:
        """Delete the file, so that its outdated content does not come into force after a restart."""
        self.path.unlink(missing_ok=True)

    def quarantine(self) -> Path | None:
        """Rename the file, so that it is not read again and operators can inspect it.

        Returns:
            The new path, `NAME.aside-N`; None where there is no file.
        """
        if not self.path.exists():
            return None
        candidates = (
            self.path.with_name(f"{self.path.name}.aside-{index}") for index in range(MAX_QUARANTINED_FILES)
        )
        quarantined = next(path for path in candidates if not path.exists())
        self.path.rename(quarantined)
        return quarantined
