"""Errors of the configuration's core."""

from __future__ import annotations


class ConfigContentError(ValueError):
    """The content received is not the version that was asked for; nothing of it is used.

    The fetch is repeated at another member; an operator need not do anything unless it happens at all.
    """
