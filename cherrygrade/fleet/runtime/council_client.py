"""Requests of this dispatcher to the council's leader, whichever voter that is."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cherrygrade.fleet.consensus.council_messages import AnyReply, AnyRequest, NotLeader
from cherrygrade.fleet.errors import CouncilUnreachableError

REPLY_TIMEOUT_S = 1.0  # for the reply of one voter, before another is asked
NO_LEADER_DELAY_S = 0.1  # before the next voter is asked, where one says that it knows no leader


class CouncilClient:
    """Sends requests and matches replies to them.

    Attributes:
        leader: The voter that is believed to lead; "" where none is known.
        pending: Requests without a reply yet, by request id; each ends with its timeout.
    """

    def __init__(self, voters: list[str], send: Callable[[AnyRequest, str], None]) -> None:
        """Take who may lead, and how a request is sent to a voter by its name."""
        self.leader = ""
        self.pending: dict[str, asyncio.Future[AnyReply]] = {}
        self._voters = voters
        self._send = send
        self._turn = 0

    async def request(self, request: AnyRequest, timeout_s: float) -> AnyReply:
        """Return the leader's reply to a request.

        Raises:
            CouncilUnreachableError: None came in time; the request may have been carried out all the same.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        why = "no voter answered"
        while (left_s := deadline - loop.time()) > 0.0:
            name = self._next_voter()
            reply = await self._request_from(name, request, min(left_s, REPLY_TIMEOUT_S))
            if reply is not None and not isinstance(reply, NotLeader):
                self.leader = name
                return reply
            # No reply: it may be down or cut off, so the next voter in turn is asked.
            if reply is None:
                self.leader = ""
                continue
            # It does not lead: whom it names is asked next; itself again would be no news.
            why = reply.reason
            self.leader = reply.leader if reply.leader != name else ""
            if not self.leader:
                await asyncio.sleep(NO_LEADER_DELAY_S)
        raise CouncilUnreachableError(f"the council gave no answer: {why}")

    def _next_voter(self) -> str:
        if self.leader in self._voters:
            return self.leader
        self._turn += 1
        return self._voters[self._turn % len(self._voters)]

    async def _request_from(self, name: str, request: AnyRequest, timeout_s: float) -> AnyReply | None:
        reply = self.pending[request.id] = asyncio.get_running_loop().create_future()
        try:
            self._send(request, name)
            return await asyncio.wait_for(reply, timeout_s)
        except TimeoutError:
            return None
        finally:
            self.pending.pop(request.id, None)

    def reply_received(self, reply: AnyReply) -> None:
        """Complete the request that this is the reply to; one that came too late is dropped."""
        pending = self.pending.get(reply.id)
        if pending is not None and not pending.done():
            pending.set_result(reply)

    def close(self) -> None:
        """Cancel all requests."""
        for pending in self.pending.values():
            pending.cancel()
