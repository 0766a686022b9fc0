"""The register's stand-in: keeps the list of nodes, tells it late, and now and then from the past."""

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
    size: int
    extent_bytes: int
    homes: list[tuple[int, int]]  # shard and version


class RegisterDoor:
    """One follower."""

    def __init__(self, register: Register) -> None:
        self.register = register
        self.name, self.push, self.version = "", False, -1
        self.conn = Connection(self, 0)

    def connected(self, conn: Connection) -> None:
        self.register.doors[self] = None

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def on_frame(self, conn: Connection, message: Any, body: Any) -> None:
        if isinstance(message, Hello):
            self.name = message.name
            conn.send(Welcome(VERSION, "register"))
        elif isinstance(message, AskMap) and not self.register.silent:
            self.register.tell_map(self, message.volume, message.first, message.count)
        elif isinstance(message, Follow) and not self.register.silent:
            self.push = message.push
            self.register.tell_whole(self)

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        self.register.doors.pop(self, None)


class Register:
    """`set` takes what is true now; followers hear of it `lag_ms` later. Born times are this process's."""

    def __init__(self, address: str, epoch: int = 1, record: Record | None = None) -> None:
        self.address, self.epoch, self.record = address, epoch, record or Record()
        self.lag_ms, self.silent, self.past = 0.0, False, 0
        self.doors: dict[RegisterDoor, None] = {}
        self.born: dict[tuple[str, int], float] = {}
        self.lists: list[dict[str, Entry]] = [{}]  # each published version; the laboratory's days are short
        self.true: dict[str, Entry] = {}
        self.volumes: dict[str, Volume] = {}
        self.asked = 0  # how often it was asked for a map
        self._server: asyncio.Server | None = None
        self._control: asyncio.Server | None = None

    async def start(self, control: str = "") -> int:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self._server = await loop.create_server(lambda: RegisterDoor(self).conn, host, int(port))
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        if control:
            self._control = await open_control(control, self.act)
        return int(self.address.rpartition(":")[2])

    @property
    def control_port(self) -> int:
        return port_of(self._control)

    def close(self) -> None:
        for server in (self._server, self._control):
            if server is not None:
                server.close()
        for door in [*self.doors]:
            door.conn.abort("register gone")

    def act(self, command: str, values: dict[str, Any]) -> str:
        self.record.note("fault", command, values)
        loop = asyncio.get_running_loop()
        lasting = float(values.get("for_ms", 0.0)) / 1000.0
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
            if lasting:
                loop.call_later(lasting, setattr, self, "lag_ms", float(values.get("usual", 0.0)))
        elif command == "past":
            self.past = int(values["value"])
            for door in self.doors:
                self.tell_whole(door)
            loop.call_later(lasting, setattr, self, "past", 0)
        elif command == "silent":
            self.silent = True
            if lasting:
                loop.call_later(lasting, setattr, self, "silent", False)
        elif command == "drop":
            for door in [*self.doors]:
                door.conn.abort("register dropped the line")
        elif command == "volume":
            extent_bytes, size, shards = (int(values[name]) for name in ("extent_bytes", "size", "shards"))
            homes = [index % shards for index in range(-(-size // extent_bytes))]
            self.volume(str(values["name"]), size, extent_bytes, homes)
        elif command == "flush":
            self.record.flush()
        else:
            raise ValueError("unknown command")
        return ""

    def set(self, address: str, zone: str, shard: int, standing: str, start: int, age_ms: float) -> None:
        now = asyncio.get_running_loop().time() * 1000.0
        known = self.true.get(address)
        if known is not None:
            zone, shard = zone or known.zone, shard if shard >= 0 else known.shard
        self.born.setdefault((address, start), now - age_ms)
        self.true[address] = Entry(address, zone, "standin", shard, standing, 1.0, start, 0.0)
        changed = {address: self.true[address]}
        if self.lag_ms:
            asyncio.get_running_loop().call_later(self.lag_ms / 1000.0, self.publish, changed)
        else:
            self.publish(changed)

    def volume(self, name: str, size: int, extent_bytes: int, shards: list[int]) -> None:
        """A volume whose extents lie on these shards, each at version 1."""
        self.volumes[name] = Volume(size, extent_bytes, [(shard, 1) for shard in shards])

    def move(self, name: str, extent: int, shard: int, *, told: bool = True) -> int:
        """The extent lies elsewhere now; gives its new version. Followers hear of it `lag_ms` later."""
        volume = self.volumes[name]
        volume.homes[extent] = (shard, volume.homes[extent][1] + 1)
        if told:
            loop = asyncio.get_running_loop()
            loop.call_later(self.lag_ms / 1000.0, self._tell_move, name, extent)
        return volume.homes[extent][1]

    def _tell_move(self, name: str, extent: int) -> None:
        for door in [*self.doors]:
            if door.push and not self.silent:
                self.tell_map(door, name, extent, 1)

    def tell_map(self, door: RegisterDoor, name: str, first: int, count: int) -> None:
        self.asked += 1
        volume = self.volumes.get(name)
        if volume is not None:
            homes = volume.homes[first : first + count]
            for at in range(0, len(homes), 256):  # a header bounds how much one word can say
                part = homes[at : at + 256]
                door.conn.send(MapPart(name, self.epoch, volume.size, volume.extent_bytes, first + at, part))

    def publish(self, changed: dict[str, Entry]) -> None:
        base = len(self.lists) - 1
        self.lists.append({**self.lists[-1], **changed})
        for door in [*self.doors]:
            if door.push and not self.silent:
                self._tell(door, Roster(self.epoch, base + 1, base, self._aged(changed)))

    def tell_whole(self, door: RegisterDoor) -> None:
        version = max(0, len(self.lists) - 1 - self.past)
        self._tell(door, Roster(self.epoch, version, -1, self._aged(self.lists[version])))

    def _aged(self, entries: dict[str, Entry]) -> list[Entry]:
        now = asyncio.get_running_loop().time() * 1000.0
        return [
            Entry(
                e.address,
                e.zone,
                e.kind,
                e.shard,
                e.standing,
                e.size,
                e.start,
                now - self.born[(e.address, e.start)],
            )
            for e in entries.values()
        ]

    def _tell(self, door: RegisterDoor, roster: Roster) -> None:
        self.record.note(
            "told",
            door.name,
            roster.version,
            roster.base,
            [[e.address, e.standing, e.start, round(e.age_ms, 1)] for e in roster.entries],
        )
        door.conn.send(roster)
