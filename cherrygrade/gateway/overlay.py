"""A dispatcher's own file beneath the text of a configuration: what comes of both, and what is wrong with it.

The own file is read once, at the start: what is changed in it later counts from the next start. Reads no file
after that, so it may run in a thread of its own.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

from cherrygrade.fleet.config.live_changes import quota_divisors, setting_changes
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.records.load import RecordError, key_paths, merge_texts, site_from_vertex
from cherrygrade.settings import SiteSettings

MOST_READ = 2  # a change and what it is based on: judged, then taken
MOST_TOLD = 2000  # characters of why a text is refused


class Overlay:
    """`own`: what the file alone comes to, as this process was started with it."""

    def __init__(self, file: Path, given: Sequence[str], own: SiteSettings) -> None:
        """`given`: more text of the command line, over the file. RecordError where the file is gone."""
        self.own = own
        try:
            self._below = [(str(file), file.read_text())]
        except (OSError, UnicodeDecodeError) as trouble:
            raise RecordError([f"{file}: {trouble}"]) from trouble
        if given:
            self._below.append(("given", "\n".join(given)))
        self._read: dict[str, SiteSettings] = {}  # by text; MOST_READ at most

    def site(self, text: str) -> SiteSettings:
        """Raises RecordError with every fault, each with its key. A dispatcher that is numbered outside of
        the text's place.dispatchers has settings too: it goes on without a part."""
        if not text:
            return self.own
        found = self._read.get(text)
        if found is None:
            found = self._site(text)
            self._read = dict([*self._read.items(), (text, found)][-MOST_READ:])
        return found

    def _site(self, text: str) -> SiteSettings:
        over = ("configuration", text)
        try:
            return site_from_vertex(merge_texts([*self._below, over], "site.rec"))
        except RecordError:
            if not self.own.place.number:
                raise
            site = site_from_vertex(
                merge_texts([*self._below, ("place", "place: number: 0"), over], "site.rec")
            )
            return replace(site, place=replace(site.place, number=self.own.place.number))

    def judge(self, before: str, text: str) -> tuple[str, QuotaDivisors | None, QuotaDivisors | None]:
        """Of a change from one text to another (before the first: ""): why it is refused, or "", the divisors
        of the site that comes of it, and of the one before. What needs a restart is told by its key."""
        try:
            new = self.site(text)
        except RecordError as wrong:
            return told(wrong), None, None
        try:
            old = self.site(before)
        except RecordError:  # it was refused here too
            old, before = self.own, ""
        restart = setting_changes(old, new).restart_keys
        if restart:
            return needs(restart), None, None
        lost = {key for key in key_paths(before) - key_paths(text) if _deals(key)} - _gone(old, new)
        if lost:
            keys = ", ".join(sorted(lost))
            return (
                f"{keys}: the version before names it; own files may differ, so name it here too",
                None,
                None,
            )
        return "", quota_divisors(new), quota_divisors(old)


def _deals(key: str) -> bool:
    """Whether parts are dealt out by it."""
    return key == "place.dispatchers" or (key.startswith("volumes.") and key.endswith(".hosts"))


def _gone(old: SiteSettings, new: SiteSettings) -> set[str]:
    """Of volumes that there are no more."""
    return {f"volumes.{name}.hosts" for name in old.trade.volumes.keys() - new.trade.volumes.keys()}


def told(wrong: RecordError) -> str:
    return "; ".join(wrong.faults)[:MOST_TOLD]


def needs(keys: list[str]) -> str:
    """Why keys refuse a text: they are each dispatcher's own file's."""
    return f"needs a restart: {', '.join(keys)}"[:MOST_TOLD]
