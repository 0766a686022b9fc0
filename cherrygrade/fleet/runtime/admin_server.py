"""Answers operators' commands at the dispatcher."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import msgspec

from cherrygrade.errors import OperatorError
from cherrygrade.fleet.consensus.voter import ConfigPut, ConfigStatus, PutConfig, ShowConfig
from cherrygrade.fleet.errors import (
    ConfigNotFoundError,
    ConfigRefusedError,
    ConfigUnreachableError,
    CouncilUnreachableError,
)
from cherrygrade.fleet.runtime.admin_messages import (
    MissingRequest,
    PutRequest,
    ShowRequest,
    _request,
)
from cherrygrade.fleet.runtime.config_exchange import ConfigExchange
from cherrygrade.fleet.runtime.council_server import CouncilServer
from cherrygrade.fleet.runtime.framed_connection import FramedConnection
from cherrygrade.transport.connection import Connection

COUNCIL_S = 0.7  # for each of at most two asks of the council: `put` is told within 2 s in all
MOST_OPERATORS = 8  # at once, at one dispatcher
JUDGE_S = 30.0  # that a text may take to be judged, while a majority goes on answering
LEAVE_S = 40.0  # in which a person's stream has to end


class AdminServer(FramedConnection):
    """One person's stream; the agent's stream hands its frames on."""

    def __init__(
        self,
        config: ConfigExchange,
        council_server: CouncilServer,
        conn: Connection,
        gone: Callable[[], object],
    ) -> None:
        super().__init__(conn)
        self.config, self.council_server, self._gone = config, council_server, gone
        self.task: asyncio.Task[None] | None = None
        self._timer = asyncio.get_running_loop().call_later(LEAVE_S, conn.abort, "a person in no hurry")

    def message_received(self, message: bytes) -> None:
        request = _request.decode(message)
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._answer(request))

    async def _answer(self, request: PutRequest | ShowRequest | MissingRequest) -> None:
        try:
            if isinstance(request, PutRequest):
                told = await self._put(request)
            elif isinstance(request, ShowRequest):
                told = await self._show(request.number)
            else:
                told = await self._missing(request.number)
        except OperatorError as trouble:
            told = {"what": trouble.what, "means": trouble.means, "do": trouble.do}
            told["nobody"] = isinstance(trouble, ConfigUnreachableError)
        self.send_message(json.dumps(told).encode())
        self.conn.close("told")

    async def _shown(self, ask_id: str, number: int = 0) -> ConfigStatus:
        try:
            found = await self.council_server.request(ShowConfig(ask_id, number), COUNCIL_S)
        except CouncilUnreachableError as trouble:
            raise ConfigUnreachableError(trouble.what) from trouble
        assert isinstance(found, ConfigStatus)
        return found

    async def _put(self, request: PutRequest) -> dict[str, Any]:
        based_on = request.based_on
        if based_on < 0:
            shown = await self._shown(f"{request.id}/newest")
            based_on = shown.lines[-1].number if shown.lines else 0
        ask = PutConfig(request.id, request.text, based_on, request.by)
        asking = asyncio.get_running_loop().create_task(self.council_server.request(ask, JUDGE_S))
        try:
            while not (await asyncio.wait({asking}, timeout=COUNCIL_S))[0]:
                await self._shown(f"{request.id}/leads")  # a long text: does it still lead?
                self.send_message(b"{}")
            found = asking.result()
        except (CouncilUnreachableError, ConfigUnreachableError) as trouble:
            raise ConfigUnreachableError(
                trouble.what,
                "It may yet have become a version; all dispatchers serve on with what they have.",
                "See `cherrygrade fleet config show` once more than half of the voters live, then put again.",
            ) from trouble
        finally:
            asking.cancel()
        assert isinstance(found, ConfigPut)
        if found.told.waits:
            raise ConfigRefusedError(found.told.waits)
        return {"number": found.told.number, "stage": found.told.stage, "mark": f"{found.told.mark:016x}"}

    async def _show(self, number: int) -> dict[str, Any]:
        here = self.config.status()
        try:
            shown = await self._shown(
                f"{self.council_server.name}/{self.council_server.birth}/show/{id(self)}", number
            )
        except ConfigUnreachableError as trouble:
            if number:
                raise
            return {"here": here, "council": trouble.what, "lines": []}
        if number and shown.text is None:
            kept = [one.number for one in shown.lines]
            told = f"{kept[0]} to {kept[-1]}" if kept else "none yet"
            raise ConfigNotFoundError(f"version {number} is not kept: {told}")
        return {
            "here": here,
            "council": "",
            "text": shown.text,
            "settled": shown.settled,
            "moving": shown.moving,
            "lines": [msgspec.structs.asdict(one) for one in shown.lines],
        }

    async def _missing(self, number: int) -> dict[str, Any]:
        config = self.config
        found = await config.missing(number)
        here = config.status()
        replica = config.replica
        settled = replica is not None and replica.stage > 2 * number and bool(replica.stage % 2)
        return {
            "here": here,
            "settled": settled,
            "missing": [asdict(member) for member in found],
            "record": config.core.record,
        }

    def closed(self, conn: Connection, why: str) -> None:
        self._gone()
        self._timer.cancel()
        if self.task is not None and not self.task.done():
            self.task.cancel()
