"""Cuts a stream of bytes into the JSON objects in it; free of I/O and clock."""

from __future__ import annotations

import json
import re
from typing import Any

MAX_OBJECT_BYTES = 4 * 1024 * 1024
MAX_QUOTED_BYTES = 40

# A string whole, or what opens and closes, or what never stands outside strings; a quote alone is a string
# whose end has not come.
TOKEN = re.compile(rb'"(?:[^"\\\x00-\x1f]++|\\.)*+"|["{}\[\]]|[^\s\d,:+\-.Eaeflnrstu]')
CONTROL_CHARACTER = re.compile(rb"[\x00-\x1f]")
WHITE_SPACE = b" \t\r\n"


class JsonObjectStream:
    """Objects on one line or over several, split anywhere or several in one piece."""

    def __init__(self) -> None:
        self._text = b""  # from the object that is being read on; at most MAX_OBJECT_BYTES and one read
        self._scanned = 0  # bytes of `_text` whose tokens were counted
        self._depth = 0  # of open braces and brackets within them

    @property
    def within_object(self) -> bool:
        """An object's end is still to come."""
        return self._depth > 0

    def feed(self, data: bytes) -> list[Any]:
        """Read bytes as they arrive.

        Returns:
            The objects that are whole now.

        Raises:
            ValueError: Something other than an object stands there, or an object is too long.
        """
        self._text += data
        objects: list[Any] = []
        while True:
            if not self._depth:
                self._skip_white_space()
                if not self._text:
                    return objects
                if self._take_line(objects):
                    continue
            if not self._take_object(objects):
                if len(self._text) > MAX_OBJECT_BYTES:
                    raise ValueError("an object without end")
                return objects

    def _skip_white_space(self) -> None:
        """Nothing but white space may stand between objects."""
        self._text = self._text.lstrip(WHITE_SPACE)
        self._scanned = 0
        if self._text and self._text[:1] != b"{":
            raise self._no_object()

    def _take_line(self, objects: list[Any]) -> bool:
        """Take an object that is a line of its own, as is usual."""
        line, end, following = self._text.partition(b"\n")
        if not end or not line.rstrip().endswith(b"}"):
            return False
        try:
            objects.append(json.loads(line))
        except ValueError:
            return False  # it may go on over more lines; if not, its tokens end it
        self._text = following
        return True

    def _take_object(self, objects: list[Any]) -> bool:
        """Take an object by counting its braces; False where its end has not come."""
        for match in TOKEN.finditer(self._text, self._scanned):
            token = match.group()
            if token == b'"':
                if CONTROL_CHARACTER.search(self._text[match.start() :]):
                    raise ValueError("a string that does not end")
                self._scanned = match.start()
                return False
            if token[:1] not in b'"{}[]':
                raise self._no_object()
            self._scanned = match.end()
            self._depth += (token in b"{[") - (token in b"}]")
            if not self._depth:
                objects.append(json.loads(self._text[: self._scanned]))
                self._text = self._text[self._scanned :]
                return True
        return False

    def _no_object(self) -> ValueError:
        return ValueError(f"no object: {self._text[:MAX_QUOTED_BYTES]!r}")
