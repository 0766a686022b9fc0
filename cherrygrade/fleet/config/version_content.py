"""The content of a version as one member sends it to another: whole, or as a difference. Free of I/O."""

from __future__ import annotations

import msgspec

from cherrygrade.fleet.config.errors import ConfigContentError
from cherrygrade.fleet.config.text_diff import DiffHunk, apply_hunks, difference
from cherrygrade.fleet.config.versions import MAX_TEXT_BYTES, ConfigVersion


class VersionContent(msgspec.Struct, array_like=True, frozen=True):
    """A version on its way; positional on the wire.

    Attributes:
        version: The version; its text is "" where it comes as a difference.
        base_number: The version that `hunks` are against; 0 where the text is whole.
        hunks: The difference.
    """

    version: ConfigVersion
    base_number: int = 0
    hunks: tuple[DiffHunk, ...] = ()


def content_for(version: ConfigVersion, base: ConfigVersion | None) -> VersionContent:
    """What is sent to a member that has `base`: the difference where it is smaller, else the whole text."""
    if base is not None:
        hunks = difference(base.text, version.text)
        if len(msgspec.msgpack.encode(hunks)) < len(version.text.encode()):
            return VersionContent(msgspec.structs.replace(version, text=""), base.number, hunks)
    return VersionContent(version)


def verified_version(
    content: VersionContent, number: int, digest_prefix: int, base: ConfigVersion | None
) -> ConfigVersion:
    """The whole version, checked against what witnesses said of it.

    Args:
        content: What was received.
        number: The number of the version that was asked for.
        digest_prefix: The digest prefix that witnesses said.
        base: The version in force here, which a difference is against; None for none.

    Raises:
        ConfigContentError: It is another version, or too long.
    """
    version = content.version
    if content.base_number:
        # Against another version than `base` the text would not fit the digest.
        if base is None:
            raise ConfigContentError("a difference against what is not held")
        version = msgspec.structs.replace(version, text=apply_hunks(base.text, content.hunks))
    if len(version.text.encode()) > MAX_TEXT_BYTES:
        raise ConfigContentError(f"more than {MAX_TEXT_BYTES} bytes")
    if (version.number, version.digest_prefix) != (number, digest_prefix):
        raise ConfigContentError("its digest is not the one that witnesses told")
    return version
