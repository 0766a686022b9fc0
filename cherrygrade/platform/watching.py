"""What a watch of discovery makes of its bytes, and when its silence means that it is broken.

Free of I/O and clock. The platform's clock: what a broken watch missed counts as told 6 s after it fell
silent, whether or not it arrived. So the next watch has to have told its first list before: `QUIET_MS`, and
then two tries of `FIRST_MS`, leave a second of it over.
"""

from __future__ import annotations

import json
import re
from typing import Any

QUIET_MS = 3000.0  # an empty line is due every 2 s: this one was a second late
FIRST_MS = 1000.0  # from the connect to the first list: the agent is on this machine and answers at once
# A new process without its first list: after READY_MS it is ready, tells clients when to come back and sends
# nothing; after BLIND_MS the list in its file, which may be old, has to do. The platform wants a restarted
# one ready within 6 s of its start: the rest is for the interpreter and imports on a small share of a core.
READY_MS, BLIND_MS = 4500.0, 60000.0
AGAIN_MS = 250.0  # the longest wait between connects: discovery may be there for a moment only
MOST_BYTES = 4 * 1024 * 1024

# A string whole, or what opens and closes, or what never stands outside strings; a quote alone is a string
# whose end has not come.
MARK = re.compile(rb'"(?:[^"\\\x00-\x1f]++|\\.)*+"|["{}\[\]]|[^\s\d,:+\-.Eaeflnrstu]')


class Objects:
    """Cuts a stream into its objects, on one line or over several, split anywhere or several in one piece."""

    def __init__(self) -> None:
        self._text = b""  # emptied by each object's end; at most MOST_BYTES and one read
        self._at = self._depth = 0

    @property
    def within(self) -> bool:
        """An object's end is still to come."""
        return self._depth > 0

    def feed(self, some: bytes) -> list[Any]:
        """The objects that are whole now. ValueError where something else than objects stands there."""
        self._text += some
        found: list[Any] = []
        while True:
            if not self._depth:  # nothing but white space between objects
                self._text, self._at = self._text.lstrip(b" \t\r\n"), 0
                if not self._text:
                    return found
                if self._text[:1] != b"{":
                    raise ValueError(f"no object: {self._text[:40]!r}")
                line, end, rest = self._text.partition(b"\n")
                if end and line.rstrip().endswith(b"}"):  # an object a line, as is usual
                    try:
                        found.append(json.loads(line))
                    except ValueError:
                        pass  # it may go on over more lines; if not, its marks end it
                    else:
                        self._text = rest
                        continue
            whole = False
            for mark in MARK.finditer(self._text, self._at):
                sign = mark.group()
                if sign == b'"':
                    if re.search(rb"[\x00-\x1f]", self._text[mark.start() :]):
                        raise ValueError("a string that does not end")
                    self._at = mark.start()
                    break
                if sign[:1] not in b'"{}[]':
                    raise ValueError(f"no object: {self._text[:40]!r}")
                self._at = mark.end()
                self._depth += (sign in b"{[") - (sign in b"}]")
                if not self._depth:
                    found.append(json.loads(self._text[: self._at]))
                    self._text, whole = self._text[self._at :], True
                    break
            if not whole:
                if len(self._text) > MOST_BYTES:
                    raise ValueError("an object without end")
                return found


class Silence:
    """How long a watch may say nothing. `until_ms`: then it is broken. `owed`: the whole list was asked."""

    def __init__(self, now: float, owed: bool) -> None:
        self.until_ms = now + FIRST_MS
        self._told, self._half = not owed, False

    def heard(self, now: float, told: bool, half: bool) -> None:
        """Bytes came. `told`: a whole list among them; `half`: the end of one is still to come.

        Until a list that is owed nothing else counts: one that only breathes would hide what is to be told.
        Nor do more bytes of an object that has no end.
        """
        self._told = self._told or told
        if self._told and not (half and self._half):
            self.until_ms = now + QUIET_MS
        self._half = half and self._told
