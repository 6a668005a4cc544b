"""TCP proxies between the processes of a play, with the faults of a network."""
import asyncio

HOST = "127.0.0.1"

# refuse: open connections are reset, new ones are refused.
# reset:  open connections are reset, new ones are accepted and reset.
# half:   one side of each open connection is reset and the other stays open, until
#         it sends; new ones are refused.
# hold:   bytes and new connections wait until the link is restored.
# mute:   open connections deliver nothing, also after the link is restored; new
#         ones are refused meanwhile.
# outlive: like hold, and the client's side of a connection stays open when the server
#         ends: what was sent reaches the next process that listens there, on some
#         connections later than on others.
MODES = ("refuse", "reset", "half", "hold", "mute")
OUTLIVE = "outlive"
LISTENING_MODES = ("reset", "hold", OUTLIVE)  # New connections are accepted.
SIDES = frozenset(("client", "server"))
OVERTAKEN_S = (0, 0, 0.1, 0.3, 0.5)


class Connection:
    def __init__(self, client):
        self.sides = {"client": client, "server": None}
        self.reset_sides = set()
        self.mute_sides = set()
        self.outlives = False  # The server's side has ended, or may end.
        self.delay_s = 0  # From the restoration of the link.
        self.is_open = {side: asyncio.Event() for side in self.sides}
        for event in self.is_open.values():
            event.set()

    def outlive(self, delay_s):
        self.outlives = True
        self.delay_s = delay_s
        self.hold(SIDES)

    def hold(self, sides):
        for side in sides:
            self.is_open[side].clear()

    def release(self):
        for event in self.is_open.values():
            event.set()


class Link:
    """Forwards the connections of one process to one address."""

    def __init__(self, target, ports, random):
        self.target = target
        self.ports = ports
        self.random = random
        self.mode = None
        self.lost_from = SIDES
        self.connections = set()
        self.port = 0
        self.server = None

    async def start(self):
        self.port = self.port or next(self.ports)
        self.server = await asyncio.start_server(self._serve, HOST, self.port,
                                                 backlog=512)

    def cut(self, mode, lost_from=SIDES):
        """`lost_from`: whose bytes are lost, for the modes hold and mute."""
        self.mode, self.lost_from = mode, lost_from
        if mode not in LISTENING_MODES:
            self.server.close()
        for connection in list(self.connections):
            if mode == "mute":
                connection.mute_sides |= lost_from
            elif mode == "hold":
                connection.hold(lost_from)
            elif mode == OUTLIVE:
                connection.outlive(self.random.choice(OVERTAKEN_S))
            elif mode == "half":
                self._reset_side(connection, self.random.choice(["client", "server"]))
            else:
                for writer in connection.sides.values():
                    if writer:
                        writer.transport.abort()

    async def restore(self):
        mode, self.mode = self.mode, None
        for connection in list(self.connections):
            connection.release()
        if mode not in LISTENING_MODES:
            await self.start()

    @staticmethod
    def _reset_side(connection, side):
        connection.reset_sides.add(side)
        if connection.sides[side]:
            connection.sides[side].transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        connection = Connection(writer)
        self.connections.add(connection)
        if self.mode == "hold":
            connection.hold(SIDES)  # A handshake needs both directions.
        elif self.mode == OUTLIVE:
            connection.outlive(self.random.choice(OVERTAKEN_S))
        for event in connection.is_open.values():
            await event.wait()
        server_reader = await self._connect(connection)
        if server_reader is None:
            return
        await asyncio.gather(self._forward(connection, reader, "client", "server"),
                             self._forward(connection, server_reader, "server", "client"))

    async def _connect(self, connection):
        """Returns the reader of the server's side, or None if nobody listens."""
        try:
            reader, connection.sides["server"] = await asyncio.open_connection(
                HOST, self.target)
            return reader
        except OSError:
            connection.sides["client"].transport.abort()
            self.connections.discard(connection)
            return None

    async def _send_on(self, connection, data):
        """Sends held bytes of a client to the process that listens now."""
        await asyncio.sleep(connection.delay_s)
        connection.outlives = False
        if connection.sides["server"].is_closing():
            reader = await self._connect(connection)
            if reader is None:
                return
            asyncio.create_task(self._forward(connection, reader, "server", "client"))
        connection.sides["server"].write(data)

    async def _forward(self, connection, reader, source, target):
        try:
            while data := await reader.read(65536):
                if source in connection.mute_sides:
                    continue
                await connection.is_open[source].wait()
                if target in connection.reset_sides:
                    connection.sides[source].transport.abort()
                    break
                if source == "client" and connection.outlives:
                    await self._send_on(connection, data)
                    continue
                connection.sides[target].write(data)
                await connection.sides[target].drain()
        except (ConnectionError, OSError):
            pass
        finally:
            if source == "server" and connection.outlives:
                connection.sides["server"].close()
                return
            # The other side of a half-open connection stays.
            if source not in connection.reset_sides:
                if target not in connection.reset_sides:
                    connection.sides[target].close()
                self.connections.discard(connection)
