"""The configuration that a dispatcher keeps on disk over its end: whole, sealed, or taken for none.

It is written beside and synced, renamed over the one before, and the folder synced: at whatever point the
machine stops, the file under the name is the one before or the new one. The seal (SHA-256, FIPS 180-4) is
over the form and all behind it; a file that does not fit its seal is put aside for people and never read
again.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path

FORM = b"cgK1"
SEAL = hashlib.sha256().digest_size
MOST = 4 * 1024 * 1024  # bytes of such a file; more is none of ours


class SealedFileError(Exception):
    """What is on disk can't be trusted; says why."""


def sealed(body: bytes) -> bytes:
    return FORM + hashlib.sha256(FORM + body).digest() + body


def opened(data: bytes) -> bytes:
    """KeptTornError where anything of it is not as it was written."""
    if len(data) < len(FORM) + SEAL:
        raise SealedFileError(f"cut short at {len(data)} bytes")
    if data[: len(FORM)] != FORM:
        raise SealedFileError("of another form")
    body = data[len(FORM) + SEAL :]
    if data[len(FORM) : len(FORM) + SEAL] != hashlib.sha256(FORM + body).digest():
        raise SealedFileError("its seal does not fit what it holds")
    return body


class SealedFile:
    """One dispatcher's. Blocking: called by a thread of its own."""

    def __init__(self, file: Path) -> None:
        self.file = file
        self._beside = file.with_name(file.name + ".new")
        self._left = file.with_name(file.name + ".left")

    def load(self) -> bytes:
        """What was kept; b"" where nothing was. KeptTornError, OSError."""
        try:
            with self.file.open("rb") as held:
                data = held.read(MOST + 1)
        except FileNotFoundError:
            return b""
        if len(data) > MOST:
            raise SealedFileError(f"longer than {MOST} bytes")
        return opened(data)

    def save(self, body: bytes) -> None:
        """On disk when it returns; OSError where the disk takes nothing: then the one before is there."""
        self.file.parent.mkdir(parents=True, exist_ok=True)
        with self._beside.open("wb") as held:
            held.write(sealed(body))
            held.flush()
            os.fsync(held.fileno())
        os.replace(self._beside, self.file)
        self._sync()

    @property
    def left(self) -> bool:
        """Whether it left by its own word since it was last sure of what is kept."""
        return self._left.exists()

    def leave(self, left: bool = True) -> None:
        """On disk when it returns. OSError."""
        if left:
            self.file.parent.mkdir(parents=True, exist_ok=True)
            self._left.touch()
        else:
            self._left.unlink(missing_ok=True)
        self._sync()

    def _sync(self) -> None:
        folder = os.open(self.file.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self) -> None:
        """What is kept is of no use any more, and must not come back."""
        self.file.unlink(missing_ok=True)

    def put_aside(self) -> Path | None:
        """Out of the way, for people to look at; where it is now."""
        if not self.file.exists():
            return None
        at = next(
            place
            for turn in range(10**6)
            if not (place := self.file.with_name(f"{self.file.name}.aside-{turn}")).exists()
        )
        self.file.rename(at)
        return at
