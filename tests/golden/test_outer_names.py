"""Names that peers, operators and files use do not change.

A rename of every use in the code could also change a key of a status answer or of a stored file, together
with the tests that read it. `outer-names.txt` lists those names. Each of them must be written in a tracked
file other than tests, documentation and the journal.
"""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
LIST = Path(__file__).with_name("outer-names.txt")
FOLDERS = ("cherrygrade", "deploy", "scenarios")
SUFFIXES = (".py", ".rec", ".toml", ".json")


def listed_names() -> set[str]:
    """Return the names of the list."""
    lines = (line.strip() for line in LIST.read_text().splitlines())
    return {line for line in lines if line and not line.startswith("#")}


def written_names() -> set[str]:
    """Return all names in the files of the program, its deployment and its scenarios."""
    paths = [path for folder in FOLDERS for path in (ROOT / folder).rglob("*") if path.suffix in SUFFIXES]
    text = "\n".join(path.read_text() for path in paths)
    dotted = re.findall(r"[\w./-]+", text)
    return {*re.findall(r"[\w-]+", text), *dotted, *(name.rstrip("/") for name in dotted)}


def test_each_listed_name_is_written_in_the_program():
    assert len(listed_names()) > 600
    assert sorted(listed_names() - written_names()) == []
