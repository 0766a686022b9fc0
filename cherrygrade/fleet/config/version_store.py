"""Versions that this member holds, and the content that it gives to others."""

from __future__ import annotations

from collections import OrderedDict

from cherrygrade.fleet.config.replica_messages import FetchRequest, FetchResponse
from cherrygrade.fleet.config.version_content import VersionContent, content_for
from cherrygrade.fleet.config.versions import ConfigVersion

MAX_CONCURRENT_RESPONSES = 8
"""Fetches that are served at once; further ones are told "busy"."""
MAX_HELD_VERSIONS = 8
"""Versions that are held, for others to fetch or as the base of a difference,"""
MAX_HELD_CHARACTERS = 1_048_576
"""and characters of their texts. The newest one held stays always."""


class VersionStore:
    """The versions held in memory.

    Attributes:
        versions: By number, the last one added last.
        responses: Fetches that are being served; at most MAX_CONCURRENT_RESPONSES.
    """

    def __init__(self) -> None:
        self.versions: OrderedDict[int, ConfigVersion] = OrderedDict()
        self.responses = 0
        self._differences: OrderedDict[tuple[int, int], VersionContent] = OrderedDict()

    def add(self, version: ConfigVersion) -> None:
        """Hold a version, and drop others beyond the limits."""
        self.versions[version.number] = version
        self.versions.move_to_end(version.number)
        length = sum(len(held.text) for held in self.versions.values())
        while len(self.versions) > 1 and (
            len(self.versions) > MAX_HELD_VERSIONS or length > MAX_HELD_CHARACTERS
        ):
            _, dropped = self.versions.popitem(last=False)
            length -= len(dropped.text)

    def find(self, number: int, digest_prefix: int) -> ConfigVersion | None:
        """The version of this number and digest prefix, if it is held."""
        version = self.versions.get(number)
        if version is None or version.digest_prefix != digest_prefix:
            return None
        return version

    def respond(self, request: FetchRequest) -> FetchResponse:
        """Serve a fetch; where content is given, `response_ended` has to follow."""
        version = self.find(request.number, request.digest_prefix)
        if version is None:
            return FetchResponse(None, "gone")
        if self.responses >= MAX_CONCURRENT_RESPONSES:
            return FetchResponse(None, "busy")
        self.responses += 1
        base = self.find(request.base_number, request.base_digest_prefix)
        if base is None:
            return FetchResponse(VersionContent(version))
        key = (version.number, base.number)
        if key not in self._differences:
            self._differences[key] = content_for(version, base)
            while len(self._differences) > MAX_HELD_VERSIONS:
                self._differences.popitem(last=False)
        return FetchResponse(self._differences[key])

    def response_ended(self) -> None:
        """A fetch that was given content has ended."""
        self.responses = max(0, self.responses - 1)
