"""What an operator's command asks of a dispatcher, as JSON over a stream."""

from __future__ import annotations

import msgspec


class AdminRequest(msgspec.Struct, frozen=True, tag_field="do", tag="Request"):
    """The base of all requests."""


class PutRequest(AdminRequest, frozen=True, tag="put"):
    """Make a text the fleet's configuration.

    Attributes:
        id: The command's own; a request that is sent again under it is carried out once.
        text: The configuration's records.
        by: Who asks, and when, for people.
        based_on: The number of the version that the text is a change of; -1 for whatever is the newest.
    """

    id: str
    text: str
    by: str
    based_on: int = -1


class ShowRequest(AdminRequest, frozen=True, tag="show"):
    """Show the versions that are kept; with a number other than 0 that version's text too."""

    number: int = 0


class MissingRequest(AdminRequest, frozen=True, tag="missing"):
    """Show who does not have a version or a later one in force."""

    number: int


AnyAdminRequest = PutRequest | ShowRequest | MissingRequest

_decoder = msgspec.json.Decoder(AnyAdminRequest)


def decode_request(message: bytes) -> AnyAdminRequest:
    """Return the request that a message holds.

    Raises:
        msgspec.MsgspecError: It holds none.
        UnicodeDecodeError: Likewise.
    """
    return _decoder.decode(message)
