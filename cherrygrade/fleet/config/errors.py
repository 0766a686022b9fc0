"""Errors of the configuration's core."""

from __future__ import annotations


class ConfigContentError(ValueError):
    """Received content is not the version that was requested, and none of it is used.

    The fetch is repeated from another member. An operator need not act on a single error; errors that persist
    are reported in the dispatcher's status.
    """
