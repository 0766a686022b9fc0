"""Stand-in of the register of nodes, which sends the list of nodes and the map of extents to dispatchers.

On command it sends changes late, or an earlier version of the list.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from cherrygrade.standin.control import open_control, port_of
from cherrygrade.standin.record import Record
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, AskMap, Entry, Follow, Hello, MapPart, Roster, Welcome


@dataclass(slots=True)
class Volume:
    """A volume that is divided into extents.

    Attributes:
        size: The size of the volume in bytes.
        extent_bytes: The size of an extent in bytes.
        homes: The shard and the version of each extent.
    """

    size: int
    extent_bytes: int
    homes: list[tuple[int, int]]


class RegisterConnection:
    """The connection of one dispatcher to the register.

    Attributes:
        register: The register.
        name: The dispatcher's name from its hello; empty before the hello.
        push: Whether changes are sent to the dispatcher as they occur.
        version: Always -1; not used.
        conn: The connection itself.
    """

    def __init__(self, register: Register) -> None:
        self.register = register
        self.name, self.push, self.version = "", False, -1
        self.conn = Connection(self, 0)

    def connected(self, conn: Connection) -> None:
        """Add the connection to the register's open connections."""
        self.register.connections[self] = None

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        """Refuse bodies: no message to the register has one."""
        return None

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        """Answer a hello, a query of a map, or a request to follow; a silent register answers hellos only."""
        if isinstance(message, Hello):
            self.name = message.name
            conn.send(Welcome(VERSION, "register"))
        elif isinstance(message, AskMap) and not self.register.silent:
            self.register.send_map(self, message.volume, message.first, message.count)
        elif isinstance(message, Follow) and not self.register.silent:
            self.push = message.push
            self.register.send_full_list(self)

    def writable(self, conn: Connection) -> None:
        """Do nothing: lists and maps are sent without regard to the connection's backlog."""

    def closed(self, conn: Connection, reason: str) -> None:
        """Remove the connection from the register's open connections."""
        self.register.connections.pop(self, None)


class Register:
    """The register of nodes and of volumes; dispatchers that follow it receive changes `lag_ms` late.

    Attributes:
        address: Host and port that the register listens at.
        epoch: The register's incarnation.
        record: Where faults and the lists that were sent are recorded.
        lag_ms: The delay from a change to its publication, in milliseconds.
        silent: True if queries are not answered and changes are not sent.
        versions_behind: How many versions before the newest the full list is taken from.
        connections: The open connections of dispatchers.
        born: The time in ms at which a node started, on this process's event loop's clock, by the node's
            address and its number of starts.
        lists: The list of nodes in each published version; all are kept, because runs are short.
        true: The present entries of nodes, which may not be published yet.
        volumes: The volumes by name.
        map_requests: The number of times that a part of a map was sent or queried.
    """

    def __init__(self, address: str, epoch: int = 1, record: Record | None = None) -> None:
        self.address, self.epoch, self.record = address, epoch, record or Record()
        self.lag_ms, self.silent, self.versions_behind = 0.0, False, 0
        self.connections: dict[RegisterConnection, None] = {}
        self.born: dict[tuple[str, int], float] = {}
        self.lists: list[dict[str, Entry]] = [{}]
        self.true: dict[str, Entry] = {}
        self.volumes: dict[str, Volume] = {}
        self.map_requests = 0
        self._server: asyncio.Server | None = None
        self._control: asyncio.Server | None = None

    async def start(self, control: str = "") -> int:
        """Listen for dispatchers.

        Args:
            control: The address at which control commands are received; its port may be 0. Without it there
                is no control connection.

        Returns:
            The port that the register listens at.
        """
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self._server = await loop.create_server(lambda: RegisterConnection(self).conn, host, int(port))
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        if control:
            self._control = await open_control(control, self.act)
        return int(self.address.rpartition(":")[2])

    @property
    def control_port(self) -> int:
        """The port of the control connection; 0 if there is none."""
        return port_of(self._control)

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        for server in (self._server, self._control):
            if server is not None:
                server.close()
        for connection in [*self.connections]:
            connection.conn.abort("the register stopped")

    def act(self, command: str, values: dict[str, Any]) -> str:
        """Carry out a control command, and return an empty text.

        Args:
            command: The name of the command.
            values: The values of the command; `for_ms` is the time after which a fault ends.

        Raises:
            KeyError: A value of the command is missing.
            ValueError: The command is unknown, or a value is no number.
        """
        self.record.note("fault", command, values)
        loop = asyncio.get_running_loop()
        duration_s = float(values.get("for_ms", 0.0)) / 1000.0
        if command == "set":
            self.set(
                str(values["address"]),
                str(values.get("zone", "")),
                int(values.get("shard", -1)),
                str(values["standing"]),
                int(values.get("start", 1)),
                float(values.get("age_ms", 0.0)),
            )
        elif command == "lag":
            self.lag_ms = float(values["value"])
            if duration_s:
                loop.call_later(duration_s, setattr, self, "lag_ms", float(values.get("usual", 0.0)))
        elif command == "past":
            self.versions_behind = int(values["value"])
            for connection in self.connections:
                self.send_full_list(connection)
            loop.call_later(duration_s, setattr, self, "versions_behind", 0)
        elif command == "silent":
            self.silent = True
            if duration_s:
                loop.call_later(duration_s, setattr, self, "silent", False)
        elif command == "drop":
            for connection in [*self.connections]:
                connection.conn.abort("the register dropped the connection")
        elif command == "volume":
            extent_bytes, size, shards = (int(values[name]) for name in ("extent_bytes", "size", "shards"))
            homes = [index % shards for index in range(-(-size // extent_bytes))]
            self.volume(str(values["name"]), size, extent_bytes, homes)
        elif command == "flush":
            self.record.flush()
        else:
            raise ValueError(f"unknown control command {command!r} of the register")
        return ""

    def set(self, address: str, zone: str, shard: int, standing: str, start: int, age_ms: float) -> None:
        """Add or replace a node's entry, and publish the change `lag_ms` later.

        Args:
            address: The node's address.
            zone: The node's zone; empty to keep the zone of its present entry.
            shard: The shard that the node stores; -1 to keep the shard of its present entry.
            standing: The node's state, as the register sends it.
            start: The number of the node's starts.
            age_ms: The time since the node's start, in milliseconds, if the register does not know it.
        """
        now = asyncio.get_running_loop().time() * 1000.0
        present = self.true.get(address)
        if present is not None:
            zone, shard = zone or present.zone, shard if shard >= 0 else present.shard
        self.born.setdefault((address, start), now - age_ms)
        self.true[address] = Entry(address, zone, "standin", shard, standing, 1.0, start, 0.0)
        changed = {address: self.true[address]}
        if self.lag_ms:
            asyncio.get_running_loop().call_later(self.lag_ms / 1000.0, self.publish, changed)
        else:
            self.publish(changed)

    def volume(self, name: str, size: int, extent_bytes: int, shards: list[int]) -> None:
        """Add a volume.

        Args:
            name: The volume's name.
            size: The size of the volume in bytes.
            extent_bytes: The size of an extent in bytes.
            shards: The shard of each extent; each extent has version 1.
        """
        self.volumes[name] = Volume(size, extent_bytes, [(shard, 1) for shard in shards])

    def move(self, name: str, extent: int, shard: int, *, notify: bool = True) -> int:
        """Move an extent to another shard, and return its new version.

        Args:
            name: The volume's name.
            extent: The extent's number.
            shard: The shard that stores the extent from now on.
            notify: Whether the change is sent to followers, `lag_ms` later.
        """
        volume = self.volumes[name]
        volume.homes[extent] = (shard, volume.homes[extent][1] + 1)
        if notify:
            loop = asyncio.get_running_loop()
            loop.call_later(self.lag_ms / 1000.0, self._send_move, name, extent)
        return volume.homes[extent][1]

    def _send_move(self, name: str, extent: int) -> None:
        for connection in [*self.connections]:
            if connection.push and not self.silent:
                self.send_map(connection, name, extent, 1)

    def send_map(self, connection: RegisterConnection, name: str, first: int, count: int) -> None:
        """Send a part of a volume's map, in messages of at most 256 extents; an unknown volume is ignored.

        Args:
            connection: The dispatcher's connection.
            name: The volume's name.
            first: The number of the first extent.
            count: The number of extents.
        """
        self.map_requests += 1
        volume = self.volumes.get(name)
        if volume is not None:
            homes = volume.homes[first : first + count]
            for at in range(0, len(homes), 256):  # the size of a message's header is limited
                part = homes[at : at + 256]
                connection.conn.send(
                    MapPart(name, self.epoch, volume.size, volume.extent_bytes, first + at, part)
                )

    def publish(self, changed: dict[str, Entry]) -> None:
        """Make a new version of the list of nodes, and send the changed entries to followers."""
        base = len(self.lists) - 1
        self.lists.append({**self.lists[-1], **changed})
        for connection in [*self.connections]:
            if connection.push and not self.silent:
                self._send_list(connection, Roster(self.epoch, base + 1, base, self._with_ages(changed)))

    def send_full_list(self, connection: RegisterConnection) -> None:
        """Send the full list of nodes, `versions_behind` versions before the newest."""
        version = max(0, len(self.lists) - 1 - self.versions_behind)
        self._send_list(connection, Roster(self.epoch, version, -1, self._with_ages(self.lists[version])))

    def _with_ages(self, entries: dict[str, Entry]) -> list[Entry]:
        """Return the entries with the ages of their nodes at this moment."""
        now = asyncio.get_running_loop().time() * 1000.0
        return [
            Entry(
                entry.address,
                entry.zone,
                entry.kind,
                entry.shard,
                entry.standing,
                entry.size,
                entry.start,
                now - self.born[(entry.address, entry.start)],
            )
            for entry in entries.values()
        ]

    def _send_list(self, connection: RegisterConnection, roster: Roster) -> None:
        self.record.note(
            "told",
            connection.name,
            roster.version,
            roster.base,
            [
                [entry.address, entry.standing, entry.start, round(entry.age_ms, 1)]
                for entry in roster.entries
            ],
        )
        connection.conn.send(roster)
