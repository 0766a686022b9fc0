"""Answers operators' commands at a dispatcher by requests to the council and queries to members."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import msgspec

from cherrygrade.errors import OperatorError
from cherrygrade.fleet.consensus.council_messages import ConfigPut, ConfigStatus, PutConfig, ShowConfig
from cherrygrade.fleet.errors import (
    ConfigNotFoundError,
    ConfigRefusedError,
    ConfigUnreachableError,
    CouncilUnreachableError,
)
from cherrygrade.fleet.runtime.admin_messages import (
    AnyAdminRequest,
    PutRequest,
    ShowRequest,
    decode_request,
)
from cherrygrade.fleet.runtime.config_exchange import ConfigExchange
from cherrygrade.fleet.runtime.council_server import CouncilServer
from cherrygrade.fleet.runtime.framed_connection import FramedConnection
from cherrygrade.transport.connection import Connection

COUNCIL_TIMEOUT_S = (
    0.7  # for each of at most two requests to the council, so that a put is answered within 2 s
)
JUDGE_TIMEOUT_S = 30.0  # for judging a text, while a majority of the council keeps answering
STREAM_TIMEOUT_S = 40.0  # for the complete stream of an operator's command
MAX_OPERATORS = 8  # connections of operators' commands at one dispatcher
KEEP_ALIVE = b"{}"  # notifies the command that its request is still in progress


class AdminServer(FramedConnection):
    """Serves one operator's command; its `PeerStream` passes the frames on.

    Attributes:
        config: The shared configuration at this dispatcher.
        council_server: Sends requests to the council.
        task: Works on the command's request; None before the request was received.
    """

    def __init__(
        self,
        config: ConfigExchange,
        council_server: CouncilServer,
        conn: Connection,
        on_closed: Callable[[], object],
    ) -> None:
        """Take the connection, and start the timeout of the stream.

        Args:
            config: The shared configuration at this dispatcher.
            council_server: Sends requests to the council.
            conn: The connection of the command.
            on_closed: Called once when the connection has ended.
        """
        super().__init__(conn)
        self.config = config
        self.council_server = council_server
        self.task: asyncio.Task[None] | None = None
        self._on_closed = on_closed
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            STREAM_TIMEOUT_S, conn.abort, f"command took longer than {STREAM_TIMEOUT_S:g} s"
        )

    def message_received(self, message: bytes) -> None:
        """Start a task for the request; a second request on the same stream is ignored."""
        request = decode_request(message)
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._answer(request))

    async def _answer(self, request: AnyAdminRequest) -> None:
        try:
            if isinstance(request, PutRequest):
                answer = await self._put(request)
            elif isinstance(request, ShowRequest):
                answer = await self._show(request.number)
            else:
                answer = await self._missing(request.number)
        except OperatorError as error:
            answer = {"what": error.what, "means": error.means, "do": error.do}
            answer["nobody"] = isinstance(error, ConfigUnreachableError)
        self.send_message(json.dumps(answer).encode())
        self.conn.close("answered")

    async def _config_status(self, request_id: str, number: int = 0) -> ConfigStatus:
        """Return the council's stored versions, with the text of version `number`.

        Raises:
            ConfigUnreachableError: The council did not answer in time.
        """
        try:
            reply = await self.council_server.request(ShowConfig(request_id, number), COUNCIL_TIMEOUT_S)
        except CouncilUnreachableError as error:
            raise ConfigUnreachableError(error.what) from error
        assert isinstance(reply, ConfigStatus)
        return reply

    async def _put(self, request: PutRequest) -> dict[str, Any]:
        based_on = request.based_on
        if based_on < 0:
            status = await self._config_status(f"{request.id}/newest")
            based_on = status.versions[-1].number if status.versions else 0
        put = PutConfig(request.id, request.text, based_on, request.by)
        put_task = asyncio.get_running_loop().create_task(self.council_server.request(put, JUDGE_TIMEOUT_S))
        try:
            while not (await asyncio.wait({put_task}, timeout=COUNCIL_TIMEOUT_S))[0]:
                # Judging a long text takes long: the command waits while the leader confirms that it leads.
                await self._config_status(f"{request.id}/leads")
                self.send_message(KEEP_ALIVE)
            reply = put_task.result()
        except (CouncilUnreachableError, ConfigUnreachableError) as error:
            raise ConfigUnreachableError(
                error.what,
                "It may yet have become a version; "
                "all dispatchers continue with their present configuration.",
                "Once more than half of the voters run, see `cherrygrade fleet config show`, then put again.",
            ) from error
        finally:
            put_task.cancel()
        assert isinstance(reply, ConfigPut)
        outcome = reply.outcome
        if outcome.refusal:
            raise ConfigRefusedError(outcome.refusal)
        return {"number": outcome.number, "stage": outcome.stage, "mark": f"{outcome.digest_prefix:016x}"}

    async def _show(self, number: int) -> dict[str, Any]:
        here = self.config.status()
        server = self.council_server
        try:
            status = await self._config_status(f"{server.name}/{server.incarnation}/show/{id(self)}", number)
        except ConfigUnreachableError as error:
            if number:
                raise
            # The version in force at this dispatcher can be shown without the council.
            return {"here": here, "council": error.what, "lines": []}
        if number and status.text is None:
            stored = [line.number for line in status.versions]
            stored_text = f"{stored[0]} to {stored[-1]}" if stored else "none yet"
            raise ConfigNotFoundError(f"version {number} is not stored; stored versions: {stored_text}")
        return {
            "here": here,
            "council": "",
            "text": status.text,
            "settled": status.settled,
            "moving": status.moving,
            "lines": [msgspec.structs.asdict(line) for line in status.versions],
        }

    async def _missing(self, number: int) -> dict[str, Any]:
        config = self.config
        missing = await config.missing(number)
        here = config.status()
        replica = config.replica
        settled = replica is not None and replica.stage > 2 * number and bool(replica.stage % 2)
        return {
            "here": here,
            "settled": settled,
            "missing": [asdict(member) for member in missing],
            "record": config.membership.fleet_size,
        }

    def closed(self, conn: Connection, why: str) -> None:
        """Cancel the request where the command closed its connection before the answer."""
        self._on_closed()
        self._timer.cancel()
        if self.task is not None and not self.task.done():
            self.task.cancel()
