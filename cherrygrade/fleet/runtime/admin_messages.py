"""Requests of operators' commands to a dispatcher, sent as JSON over a stream."""

from __future__ import annotations

import msgspec


class AdminRequest(msgspec.Struct, frozen=True, tag_field="do", tag="Request"):
    """Base of all requests; the JSON key `do` names the kind of request."""


class PutRequest(AdminRequest, frozen=True, tag="put"):
    """Makes a text the fleet's configuration.

    Attributes:
        id: Identifies the request: one that is sent again with the same id is carried out once.
        text: The configuration, as record text.
        by: The operator and the time, for people.
        based_on: Number of the version that the text changes; -1 for the newest one, whichever it is.
    """

    id: str
    text: str
    by: str
    based_on: int = -1


class ShowRequest(AdminRequest, frozen=True, tag="show"):
    """Shows the stored versions.

    Attributes:
        number: The version whose text is shown as well; 0 for none.
    """

    number: int = 0


class MissingRequest(AdminRequest, frozen=True, tag="missing"):
    """Shows the members that do not have a version or a later one in force.

    Attributes:
        number: The version's number.
    """

    number: int


AnyAdminRequest = PutRequest | ShowRequest | MissingRequest

_decoder = msgspec.json.Decoder(AnyAdminRequest)


def decode_request(message: bytes) -> AnyAdminRequest:
    """Decode a message into a request.

    Raises:
        msgspec.MsgspecError: The message is not JSON, or is not a known request.
        UnicodeDecodeError: The message is not UTF-8.
    """
    return _decoder.decode(message)
