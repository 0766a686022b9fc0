"""Lays the fleet's configuration over a dispatcher's own settings file and checks the result.

The own file is read once, at the start: later changes to it count from the next start. Nothing after that
reads a file, so the methods may run in a thread of their own.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

from cherrygrade.fleet.config.live_changes import quota_divisors, setting_changes
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.records.load import RecordError, key_paths, merge_texts, site_from_vertex
from cherrygrade.settings import SiteSettings

MAX_CACHED = 2  # a change and the version that it is based on: both are checked, then the change is applied
MAX_FAULT_CHARS = 2000  # of the reason for which a text is refused


class Overlay:
    """A dispatcher's own settings and how a configuration text changes them.

    Attributes:
        own: the settings of the own file alone, with which this process was started.
    """

    def __init__(self, file: Path, given: Sequence[str], own: SiteSettings) -> None:
        """Read the own file.

        Args:
            file: the own file.
            given: record text from the command line, laid over the file.
            own: the settings that result from both.

        Raises:
            RecordError: the file cannot be read.
        """
        self.own = own
        try:
            self._below = [(str(file), file.read_text())]
        except (OSError, UnicodeDecodeError) as error:
            raise RecordError([f"{file}: {error}"]) from error
        if given:
            self._below.append(("given", "\n".join(given)))
        self._cache: dict[str, SiteSettings] = {}  # by text; MAX_CACHED at most

    def site(self, text: str) -> SiteSettings:
        """Return the settings with a configuration text laid over the own file; "" for the own file alone.

        A dispatcher whose seat is outside of the text's place.dispatchers gets settings too: it goes on
        without a part of the limits.

        Raises:
            RecordError: the settings are wrong; names every fault with its key.
        """
        if not text:
            return self.own
        cached = self._cache.get(text)
        if cached is None:
            cached = self._site(text)
            self._cache = dict([*self._cache.items(), (text, cached)][-MAX_CACHED:])
        return cached

    def _site(self, text: str) -> SiteSettings:
        over = ("configuration", text)
        try:
            return site_from_vertex(merge_texts([*self._below, over], "site.rec"))
        except RecordError:
            # The seat may be outside of place.dispatchers: check the rest with seat 0, then restore the seat.
            if not self.own.place.number:
                raise
            site = site_from_vertex(
                merge_texts([*self._below, ("place", "place: number: 0"), over], "site.rec")
            )
            return replace(site, place=replace(site.place, number=self.own.place.number))

    def judge(self, before: str, text: str) -> tuple[str, QuotaDivisors | None, QuotaDivisors | None]:
        """Check a change from one configuration text to another.

        Args:
            before: the text in force; "" before the first.
            text: the proposed text.

        Returns:
            Why the change is refused, or ""; the divisors of the new settings; the divisors of the old ones.
            Both divisors are None if the change is refused.
        """
        try:
            new = self.site(text)
        except RecordError as error:
            return fault_text(error), None, None
        try:
            old = self.site(before)
        except RecordError:  # this dispatcher refused that text too, so its own file is in force
            old, before = self.own, ""
        restart_keys = setting_changes(old, new).restart_keys
        if restart_keys:
            return restart_text(restart_keys), None, None
        missing = {key for key in key_paths(before) - key_paths(text) if _is_divisor(key)} - _removed(
            old, new
        )
        if missing:
            keys = ", ".join(sorted(missing))
            return (
                f"{keys}: the version before names it; own files may differ, so name it here too",
                None,
                None,
            )
        return "", quota_divisors(new), quota_divisors(old)


def _is_divisor(key: str) -> bool:
    """Return whether limits are divided by the value of this key."""
    return key == "place.dispatchers" or (key.startswith("volumes.") and key.endswith(".hosts"))


def _removed(old: SiteSettings, new: SiteSettings) -> set[str]:
    """Return the divisor keys of volumes that the new settings no longer have."""
    return {f"volumes.{name}.hosts" for name in old.trade.volumes.keys() - new.trade.volumes.keys()}


def fault_text(error: RecordError) -> str:
    """Return all faults of wrong settings in one text of at most MAX_FAULT_CHARS."""
    return "; ".join(error.faults)[:MAX_FAULT_CHARS]


def restart_text(keys: list[str]) -> str:
    """Return why a change of these keys is refused: they belong to each dispatcher's own file."""
    return f"needs a restart: {', '.join(keys)}"[:MAX_FAULT_CHARS]
