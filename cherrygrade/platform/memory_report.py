"""Logs what memory the dispatcher takes: as the kernel measures it, and as connections count it."""

from __future__ import annotations

from collections.abc import Callable

from cherrygrade.peers.process_memory import ProcessMemory
from cherrygrade.peers.socket_queues import SocketQueues
from cherrygrade.platform.peer_memory import PeerMemory

BYTES_PER_KIB = 1024


class MemoryReport:
    """Logs memory with the counts."""

    def __init__(self, process: ProcessMemory, peers: PeerMemory, log: Callable[..., None]) -> None:
        """Create a report.

        Args:
            process: Measures the process.
            peers: What connections hold.
            log: Writes a log event, given by its name and its facts as keywords.
        """
        self._process = process
        self._peers = peers
        self._log = log

    def write(self) -> None:
        """Log resident memory, the sockets' queues, tracked objects and what connections hold."""
        queues = SocketQueues.sum_of(holder.socket_queues for holder in self._peers.holders)
        self._log(
            "memory",
            resident_kib=self._process.resident_bytes() // BYTES_PER_KIB,
            receive_queues_kib=queues.receive_bytes // BYTES_PER_KIB,
            send_queues_kib=queues.send_bytes // BYTES_PER_KIB,
            tracked_objects=self._process.tracked_objects(),
            collected_objects=self._process.collected,
            returned_kib=self._process.returned_bytes // BYTES_PER_KIB,
            connections=len(self._peers.holders),
            held_kib=self._peers.total_bytes // BYTES_PER_KIB,
            limit_kib=self._peers.max_bytes // BYTES_PER_KIB,
        )
