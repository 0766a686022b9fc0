"""The versions that this member has in memory, and the content that it serves to other members."""

from __future__ import annotations

from collections import OrderedDict

from cherrygrade.fleet.config.replica_messages import FetchRequest, FetchResponse
from cherrygrade.fleet.config.version_content import VersionContent, content_for
from cherrygrade.fleet.config.versions import ConfigVersion

MAX_CONCURRENT_RESPONSES = 8
"""Fetches that are served at the same time; further ones get the reason "busy"."""
MAX_CACHED_VERSIONS = 8
"""Versions in memory, which others fetch or which serve as the base of a difference."""
MAX_CACHED_CHARACTERS = 1_048_576
"""Characters of the texts of the versions in memory. The version added last always stays."""


class VersionStore:
    """The versions in memory.

    Attributes:
        versions: Versions by number, in the order in which they were added last.
        responses: The number of fetches that are being served; at most MAX_CONCURRENT_RESPONSES.
    """

    def __init__(self) -> None:
        self.versions: OrderedDict[int, ConfigVersion] = OrderedDict()
        self.responses = 0
        self._differences: OrderedDict[tuple[int, int], VersionContent] = OrderedDict()

    def add(self, version: ConfigVersion) -> None:
        """Add a version, and drop the oldest ones beyond the limits."""
        self.versions[version.number] = version
        self.versions.move_to_end(version.number)
        length = sum(len(cached.text) for cached in self.versions.values())
        while len(self.versions) > 1 and (
            len(self.versions) > MAX_CACHED_VERSIONS or length > MAX_CACHED_CHARACTERS
        ):
            _, dropped = self.versions.popitem(last=False)
            length -= len(dropped.text)

    def find(self, number: int, digest_prefix: int) -> ConfigVersion | None:
        """Return the version with this number and digest prefix; None if it is not in memory."""
        version = self.versions.get(number)
        if version is None or version.digest_prefix != digest_prefix:
            return None
        return version

    def respond(self, request: FetchRequest) -> FetchResponse:
        """Serve a fetch. If the response has content, `response_ended` has to follow."""
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
            while len(self._differences) > MAX_CACHED_VERSIONS:
                self._differences.popitem(last=False)
        return FetchResponse(self._differences[key])

    def response_ended(self) -> None:
        """Note that a fetch whose response had content has ended."""
        self.responses = max(0, self.responses - 1)
