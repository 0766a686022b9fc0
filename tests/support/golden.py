"""Files that were recorded on the commit before the renames, and how values are held against them.

Values are compared by place, not by name: a renamed class or field stays equal, one that was moved, added,
dropped or given another default does not.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

FOLDER = Path(__file__).parents[1] / "golden"


def load(name: str) -> Any:
    """The recorded value of `name`.json."""
    return json.loads((FOLDER / f"{name}.json").read_text())


def positional(value: Any) -> Any:
    """Plain lists and values of a tree of dataclasses; a mapping becomes its pairs in order."""
    if is_dataclass(value) and not isinstance(value, type):
        return [positional(getattr(value, one.name)) for one in fields(value)]
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, Mapping):
        return [[key, positional(one)] for key, one in value.items()]
    if isinstance(value, list | tuple):
        return [positional(one) for one in value]
    return value


def plain(value: Any) -> Any:
    """A message as it stands in the recorded files: JSON's types alone."""
    return json.loads(json.dumps(msgspec.to_builtins(value)))
