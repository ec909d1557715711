"""A request that crashes each server that begins to run it, where a crashed server
falls silent instead of refusing channels."""

import asyncio
import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit"))
sys.dont_write_bytecode = True

from standins import CannotRun, Fleet, Server, main, reset, send  # noqa: E402

HOST = "fjord.example"
CONTACT_S = 3.0  # contact_ms
DOWN_S = 4.5  # the site's largest for_s of srv_crash
MORE_RETRIES = 3  # "in more than three retries"
ROUTES = [{"name": "payout", "host": HOST, "path_prefix": "/payout/", "service": "ledger",
           "route_kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 150,
           "max_attempts": 1, "priority": 2}]
SERVICE = {"name": "ledger", "health_path": "/healthz", "max_conns": 110}
SOUND_PER_S = 40
DEADLY = b"a payout that crashes the server"


class CrashingServer(Server):
    """Crashes when it begins to run the deadly request, and is back later as a new
    incarnation at the same address."""

    dark = True
    on_crash = None
    starts = 0
    fillers = ()

    async def start(self, ip, port=0):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((ip, port))
        self.sock.listen(2)
        self.sock.setblocking(False)
        self.place = self.sock.getsockname()
        self.address = "%s:%d" % self.place
        self.up = True
        self.write_entry()
        self.task = asyncio.ensure_future(self.beat())
        self.accepting = asyncio.ensure_future(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            channel, _ = await loop.sock_accept(self.sock)
            reader, writer = await asyncio.open_connection(sock=channel)
            asyncio.ensure_future(self.serve(reader, writer))

    async def handle(self, writer, target, headers, body, ident):
        if self.up and body == DEADLY and headers.get("x-expect-instance") == self.id:
            self.runs[ident] += 1
            self.record(f"server {self.id} begins to run {ident} and crashes")
            self.up = False
            self.on_crash(ident)
            asyncio.ensure_future(self.crash())
        if not self.up:
            await asyncio.sleep(600)  # silent
        return await super().handle(writer, target, headers, body, ident)

    async def plain(self, writer, ident, base):
        start = self.starts
        await asyncio.sleep(self.takes)
        if not self.up or self.starts != start:
            await asyncio.sleep(600)  # what ran here is lost with the server
        return await super().plain(writer, ident, base)

    async def crash(self):
        self.task.cancel()
        self.accepting.cancel()
        if self.dark:
            # The queue of new channels is full: further ones get no answer.
            fillers = [socket.socket() for _ in range(8)]
            for one in fillers:
                one.setblocking(False)
                one.connect_ex(self.place)
        else:
            fillers = []
            self.sock.close()
            for writer in list(self.connections):
                reset(writer)
        silent = list(self.connections)
        await asyncio.sleep(3.6)  # three liveness report intervals
        self.store.put("keyed.servers", self.id, b"")
        await asyncio.sleep(DOWN_S - 3.6)
        for one in (*fillers, self.sock):
            one.close()
        for writer in silent:
            reset(writer)
        self.starts += 1
        self.id = f"{self.name}-{self.starts}"
        self.born, self.sequence, self.running = int(time.time() * 1000), 0, 0
        await self.start(*self.place)


async def case(record, trouble, fleets):
    fleet = Fleet(record)
    fleets.append(fleet)
    fleet.deploy(ROUTES, [SERVICE], [{"name": "orchard", "api_keys": ["key-1"]}])
    crashes = []  # (time, request) of each run of the deadly request
    for i in range(6):
        server = CrashingServer(fleet.store, record, "ledger", f"i-{i}", f"zone-{i % 3}", slots=6)
        server.name = server.id
        server.takes = 0.08  # a payout takes up to 200 ms
        server.dark = os.environ.get("TROUBLE") != "refused"  # "refused": crashes that refuse channels
        server.on_crash = lambda ident: crashes.append((time.monotonic(), ident))
        await server.start(fleet.ip())
        fleet.servers.append(server)
    for i in range(3):
        await fleet.start_edge(f"edge-{i}", f"zone-{i}")
    await fleet.until_ready()
    fronts = [edge.front for edge in fleet.edges.values()]
    lost = []

    async def pay(front, ident, body):
        headers = {"Host": HOST, "X-Attempt-Id": ident, "Authorization": "Bearer key-1", "X-Deadline-Ms": "1500"}
        answer = await send(front, "POST", "/payout/x", headers, body, timeout=1.7)
        record.quiet(f"{ident}: {answer}")
        if body != DEADLY and answer.status != 200 and any(s.runs[ident] for s in fleet.servers):
            lost.append(ident)

    # Sound payouts, and copies of one payout that come again at any machine.
    began = time.monotonic()
    tasks = []
    for n in range(SOUND_PER_S * 30):
        tasks.append(asyncio.ensure_future(pay(fronts[n % 3], f"sound-{n}", b"10 EUR for %d" % n)))
        if n % SOUND_PER_S == 0 and trouble:
            copy = n // SOUND_PER_S
            tasks.append(asyncio.ensure_future(pay(fronts[copy % 3], f"copy-{copy}", DEADLY)))
        await asyncio.sleep(max(began + (n + 1) / SOUND_PER_S - time.monotonic(), 0))
    await asyncio.gather(*tasks)
    later = 0
    if len(crashes) >= 3:
        bound = crashes[2][0] + CONTACT_S
        later = sum(at > bound for at, _ in crashes)
    record(f"{len(crashes)} crashes; {later} runs later than contact_ms after the third crash; "
           f"{len(lost)} sound payouts at servers got no answer of theirs")
    return later > MORE_RETRIES


if __name__ == "__main__":
    main(FOLDER, case)
