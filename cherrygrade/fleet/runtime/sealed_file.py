"""The file in which a dispatcher keeps its configuration across restarts.

A new version is written to a second file and synced, renamed over the one before, and the folder is synced:
at whatever point the machine stops, the file under the name is the old version or the new one. The file
starts with a format tag and a SHA-256 digest (FIPS 180-4) over the tag and the body. A file that does not
match its digest is put aside for people to look at and never read again.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path

FORMAT_TAG = b"cgK1"
DIGEST_BYTES = hashlib.sha256().digest_size
MAX_FILE_BYTES = 4 * 1024 * 1024  # a longer file was not written by this program
MAX_FILES_ASIDE = 10**6


class SealedFileError(Exception):
    """The file's content can't be trusted; the message says why.

    The caller puts the file aside and goes on as if there were none.
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
        raise SealedFileError(f"cut short at {len(data)} bytes")
    if data[: len(FORMAT_TAG)] != FORMAT_TAG:
        raise SealedFileError("of another form")
    body = data[header_bytes:]
    if data[len(FORMAT_TAG) : header_bytes] != hashlib.sha256(FORMAT_TAG + body).digest():
        raise SealedFileError("its seal does not fit what it holds")
    return body


class SealedFile:
    """One dispatcher's file, and beside it the marker that the dispatcher left the fleet on purpose.

    All methods block on the disk: call them in a thread.

    Attributes:
        path: The file; `.new`, `.left` and `.aside-N` are appended for the files beside it.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._new_path = path.with_name(path.name + ".new")
        self._left_marker = path.with_name(path.name + ".left")

    def load(self) -> bytes:
        """Return the body that was saved last, or b"" where there is no file.

        Raises:
            SealedFileError: There is a file, and it can't be trusted.
            OSError: The disk could not be read.
        """
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return b""
        if len(data) > MAX_FILE_BYTES:
            raise SealedFileError(f"longer than {MAX_FILE_BYTES} bytes")
        return unseal(data)

    def save(self, body: bytes) -> None:
        """Replace the file's body; it is on disk when this returns.

        Raises:
            OSError: The disk could not be written; the file is as it was.
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
        """Whether the dispatcher left on purpose and has not been sure of its configuration since."""
        return self._left_marker.exists()

    def set_leave_marker(self, present: bool = True) -> None:
        """Write or remove the marker that the dispatcher left; it is on disk when this returns.

        Raises:
            OSError: The disk could not be written.
        """
        if present:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            self._left_marker.touch()
        else:
            self._left_marker.unlink(missing_ok=True)
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self) -> None:
        """Delete the file: what it holds is outdated and must not come back after a restart."""
        self.path.unlink(missing_ok=True)

    def quarantine(self) -> Path | None:
        """Rename the file for people to look at; return its new path, or None where there is no file."""
        if not self.path.exists():
            return None
        numbered = (self.path.with_name(f"{self.path.name}.aside-{turn}") for turn in range(MAX_FILES_ASIDE))
        aside = next(path for path in numbered if not path.exists())
        self.path.rename(aside)
        return aside
