"""Digest of the settings that must be equal in the whole fleet.

Members send this digest to each other, so it is part of the protocol. It is a checksum of the text form that
the settings had when the protocol was frozen, with the names in `frozen_names.py`. Renaming a class or a
field in the program does not change the digest.
"""

from __future__ import annotations

import zlib
from dataclasses import is_dataclass
from enum import Enum
from typing import Any

from cherrygrade.records.frozen_names import FROZEN_IDEMPOTENCY, FROZEN_NAMES, frozen_fields
from cherrygrade.scheduling.model import Idempotency
from cherrygrade.settings import SiteSettings


def settings_digest(site: SiteSettings) -> str:
    """Return eight hexadecimal digits, equal for two dispatchers whose shared settings are equal.

    Args:
        site: The settings of the dispatcher's own file, without the fleet's configuration.
    """
    shared = (site.trade, site.bearings, site.place.dispatchers)
    return f"{zlib.crc32(_frozen_text(shared).encode()):08x}"


def _frozen_text(value: Any) -> str:
    """Return the text form of a value, with the frozen names of types, fields and enum members."""
    if isinstance(value, Enum):
        assert isinstance(value, Idempotency)
        return f"<Effect.{FROZEN_IDEMPOTENCY[value]}: {value.value!r}>"
    if is_dataclass(value):
        kind = type(value)
        parts = [f"{key}={_frozen_text(getattr(value, name))}" for key, name in frozen_fields(kind)]
        return f"{FROZEN_NAMES[kind][0]}({', '.join(parts)})"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key!r}: {_frozen_text(one)}" for key, one in value.items()) + "}"
    if isinstance(value, tuple):
        return f"({', '.join(map(_frozen_text, value))})"
    return repr(value)
