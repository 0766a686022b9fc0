"""Reads recorded values, and converts values of the program to the form of the recorded ones.

The values were recorded before classes and fields were renamed. They are compared by position, not by name: a
renamed class or field compares as equal, but not one that was moved, added, removed or given another default.
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
"""Folder of the recorded files."""


def load(name: str) -> Any:
    """Return the recorded value of `name`.json."""
    return json.loads((FOLDER / f"{name}.json").read_text())


def positional(value: Any) -> Any:
    """Convert a tree of dataclasses to lists of plain values; a mapping becomes a list of its pairs."""
    if is_dataclass(value) and not isinstance(value, type):
        return [positional(getattr(value, member.name)) for member in fields(value)]
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, Mapping):
        return [[key, positional(member)] for key, member in value.items()]
    if isinstance(value, list | tuple):
        return [positional(member) for member in value]
    return value


def plain(value: Any) -> Any:
    """Convert a message to JSON's types, as the recorded files hold it."""
    return json.loads(json.dumps(msgspec.to_builtins(value)))
