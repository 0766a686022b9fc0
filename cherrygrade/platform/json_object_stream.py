"""Splits a stream of bytes into JSON objects; free of I/O and clock."""

from __future__ import annotations

import json
import re
from typing import Any

MAX_OBJECT_BYTES = 4 * 1024 * 1024
MAX_QUOTED_BYTES = 40
MAX_VALUES = 64 * 1024
"""Values of an object; a list of 3,200 nodes has half as many. Empty lists take 24 times their bytes."""
VALUE_STARTS = (b",", b"[", b"{")
"""Each value but the first of a list or an object follows one of these; commas in texts count, too."""

# A complete string, a quote (the start of a string whose end has not arrived), an opening or closing bracket,
# or a character that JSON does not allow outside of strings.
TOKEN = re.compile(rb'"(?:[^"\\\x00-\x1f]++|\\.)*+"|["{}\[\]]|[^\s\d,:+\-.Eaeflnrstu]')
CONTROL_CHARACTER = re.compile(rb"[\x00-\x1f]")
WHITE_SPACE = b" \t\r\n"


class TooManyValuesError(ValueError):
    """An object has more than MAX_VALUES values, so that it would take too much memory."""


def _parse(text: bytes) -> Any:
    if sum(map(text.count, VALUE_STARTS)) > MAX_VALUES:
        raise TooManyValuesError(f"an object has more than {MAX_VALUES} values")
    return json.loads(text)


class JsonObjectStream:
    """Reads JSON objects that may span lines, and that arrive split or joined in any way."""

    def __init__(self, max_object_bytes: int = MAX_OBJECT_BYTES) -> None:
        """Create a stream.

        Args:
            max_object_bytes: Limit on an object; at most MAX_OBJECT_BYTES holds in any case.
        """
        self._max_object_bytes = min(max_object_bytes, MAX_OBJECT_BYTES)
        self._text = b""  # starts with the unfinished object; at most the limit and one read
        self._scanned = 0  # bytes of `_text` whose brackets were counted
        self._depth = 0  # number of brackets open after the scanned bytes

    @property
    def within_object(self) -> bool:
        """Whether the start of an object was read and its end was not."""
        return self._depth > 0

    def feed(self, data: bytes) -> list[Any]:
        """Read bytes in the order of their arrival.

        Returns:
            The objects that are complete now.

        Raises:
            ValueError: The bytes are not a sequence of objects, or an object exceeds the limit.
        """
        self._text += data
        objects: list[Any] = []
        while True:
            if not self._depth:
                self._skip_white_space()
                if not self._text:
                    return objects
                if self._parse_line(objects):
                    continue
            if not self._parse_object(objects):
                if len(self._text) > self._max_object_bytes:
                    raise ValueError(f"an object exceeds {self._max_object_bytes} bytes")
                return objects

    def _skip_white_space(self) -> None:
        """Skip white space before an object; raise ValueError for any other byte."""
        self._text = self._text.lstrip(WHITE_SPACE)
        self._scanned = 0
        if self._text and self._text[:1] != b"{":
            raise self._not_an_object()

    def _parse_line(self, objects: list[Any]) -> bool:
        """Read an object that is exactly one line, the usual form; return False if there is none."""
        line, end, following = self._text.partition(b"\n")
        if not end or not line.rstrip().endswith(b"}"):
            return False
        try:
            objects.append(_parse(line))
        except TooManyValuesError:
            raise
        except ValueError:
            return False  # it may span several lines; `_parse_object` rejects it if it is malformed
        self._text = following
        return True

    def _parse_object(self, objects: list[Any]) -> bool:
        """Find the end of an object by counting brackets; return False if it has not arrived yet."""
        for match in TOKEN.finditer(self._text, self._scanned):
            token = match.group()
            if token == b'"':
                if CONTROL_CHARACTER.search(self._text[match.start() :]):
                    raise ValueError("a control character in a string")
                self._scanned = match.start()
                return False
            if token[:1] not in b'"{}[]':
                raise self._not_an_object()
            self._scanned = match.end()
            self._depth += (token in b"{[") - (token in b"}]")
            if not self._depth:
                objects.append(_parse(self._text[: self._scanned]))
                self._text = self._text[self._scanned :]
                return True
        return False

    def _not_an_object(self) -> ValueError:
        return ValueError(f"a JSON object wanted, not {self._text[:MAX_QUOTED_BYTES]!r}")
