"""Sends this dispatcher's requests to the voter that leads the council."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cherrygrade.fleet.consensus.council_messages import AnyReply, AnyRequest, NotLeader
from cherrygrade.fleet.errors import CouncilUnreachableError

REPLY_TIMEOUT_S = 1.0  # for the reply of one voter, before the request is sent to another
NO_LEADER_DELAY_S = 0.1  # before the request is sent to the next voter, where a voter knows no leader


class CouncilClient:
    """Sends requests to the council's leader, and matches replies to requests.

    Attributes:
        leader: Name of the voter that is believed to lead; "" where none is known.
        pending: Requests without a reply, by request id; each ends by its reply or by its timeout.
    """

    def __init__(self, voters: list[str], send: Callable[[AnyRequest, str], None]) -> None:
        """Take the council's voters.

        Args:
            voters: The names of the voters.
            send: Sends a request to the voter with the given name.
        """
        self.leader = ""
        self.pending: dict[str, asyncio.Future[AnyReply]] = {}
        self._voters = voters
        self._send = send
        self._voter_index = 0

    async def request(self, request: AnyRequest, timeout_s: float) -> AnyReply:
        """Send a request to the leader and return the reply.

        Args:
            request: The request.
            timeout_s: For the request at all voters together.

        Raises:
            CouncilUnreachableError: No leader replied in time; the request may still have been carried out.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        reason = "no voter replied"
        while (remaining_s := deadline - loop.time()) > 0.0:
            name = self._next_voter()
            reply = await self._request_from(name, request, min(remaining_s, REPLY_TIMEOUT_S))
            if reply is not None and not isinstance(reply, NotLeader):
                self.leader = name
                return reply
            # The voter may be down or cut off: the request goes to the next voter in the list.
            if reply is None:
                self.leader = ""
                continue
            # The voter does not lead: the request goes to the leader that it names, unless it names itself.
            reason = reply.reason
            self.leader = reply.leader if reply.leader != name else ""
            if not self.leader:
                await asyncio.sleep(NO_LEADER_DELAY_S)
        raise CouncilUnreachableError(f"no leader of the council replied within {timeout_s:g} s: {reason}")

    def _next_voter(self) -> str:
        if self.leader in self._voters:
            return self.leader
        self._voter_index += 1
        return self._voters[self._voter_index % len(self._voters)]

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
        """Complete the request that the reply belongs to; a reply after the timeout is dropped."""
        pending = self.pending.get(reply.id)
        if pending is not None and not pending.done():
            pending.set_result(reply)

    def close(self) -> None:
        """Cancel all requests."""
        for pending in self.pending.values():
            pending.cancel()
