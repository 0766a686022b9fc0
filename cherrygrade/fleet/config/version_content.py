"""The content of a version as one member sends it to another: full, or as a difference. Free of I/O."""

from __future__ import annotations

import msgspec

from cherrygrade.fleet.config.errors import ConfigContentError
from cherrygrade.fleet.config.text_diff import DiffHunk, apply_hunks, difference
from cherrygrade.fleet.config.versions import MAX_TEXT_BYTES, ConfigVersion


class VersionContent(msgspec.Struct, array_like=True, frozen=True):
    """A version as it is sent; fields are positional on the wire.

    Attributes:
        version: The version. Its text is "" if it is sent as a difference.
        base_number: The number of the version that `hunks` apply to; 0 if the text is sent in full.
        hunks: The difference.
    """

    version: ConfigVersion
    base_number: int = 0
    hunks: tuple[DiffHunk, ...] = ()


def content_for(version: ConfigVersion, base: ConfigVersion | None) -> VersionContent:
    """Return what to send to a member that has `base`: the difference if smaller, else the full text."""
    if base is not None:
        hunks = difference(base.text, version.text)
        if len(msgspec.msgpack.encode(hunks)) < len(version.text.encode()):
            return VersionContent(msgspec.structs.replace(version, text=""), base.number, hunks)
    return VersionContent(version)


def verified_version(
    content: VersionContent, number: int, digest_prefix: int, base: ConfigVersion | None
) -> ConfigVersion:
    """Return the full version, once it is checked against the digest prefix that witnesses reported.

    Args:
        content: The content received.
        number: The number of the version that was requested.
        digest_prefix: The digest prefix that witnesses reported for it.
        base: The version in force here, which a difference applies to; None for none.

    Raises:
        ConfigContentError: The content is another version, is too long, or is a difference that
            does not apply.
    """
    version = content.version
    if content.base_number:
        # The base's number need not be compared: a difference against another version gives another digest.
        if base is None:
            raise ConfigContentError(
                f"the difference is against version {content.base_number}, but no version is in force here"
            )
        version = msgspec.structs.replace(version, text=apply_hunks(base.text, content.hunks))
    if len(version.text.encode()) > MAX_TEXT_BYTES:
        raise ConfigContentError(
            f"the text of version {version.number} is longer than the maximum of {MAX_TEXT_BYTES} bytes"
        )
    if (version.number, version.digest_prefix) != (number, digest_prefix):
        raise ConfigContentError(
            f"expected version {number} with digest {digest_prefix:016x}, "
            f"received version {version.number} with digest {version.digest_prefix:016x}"
        )
    return version
