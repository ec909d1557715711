"""Some servers spoil a few of their streams: one byte in the id of an event is wrong, and
then the stream is broken off."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-4"))
import standins  # noqa: E402

SERVERS = 12
SPOILING = 4  # garble: a share of 0.35
SPOILED = 0.02  # of their answers
TURNS_PER_S = 45
SENDS_S = 40
EVENTS = 5
# high: the wrong id is above those that follow, 92 instead of 2. Otherwise it is 0.
VARIANT = os.environ.get("VARIANT", "")

CONFIG = {
    "version": 3,
    "routes": [{"name": "plan", "host": "h.example", "path_prefix": "/plan/",
                "route_kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 200,
                "priority": 1, "service": "llm", "max_attempts": 2, "retained": False,
                "retention_s": 60, "public": False, "sticky": True,
                "resumable": True, "gap_target_ms": 250}],
    "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 210,
                  "protocol": "h1", "tls": False,
                  "runtime": {"slots": 24, "kv_capacity": 657246, "chunk_tokens": 20}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "orchard", "api_keys": ["key1"], "priority": 1,
                 "rate_per_s": 302, "burst": 302}]}


class SpoilingServer(standins.Server):
    """Spoils every fiftieth of its streams."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.streams = self.spoiled = 0

    async def run(self, method, target, headers, body, reader, writer):
        if headers.get("x-expect-instance", self.name) == self.name:
            self.streams += 1
            if self.fleet.trouble and self.streams % round(1 / SPOILED) == 0:
                return await self.spoil(headers["x-attempt-id"], writer)
        return await super().run(method, target, headers, body, reader, writer)

    async def spoil(self, attempt, writer):
        self.spoiled += 1
        self.fleet.note("spoiled", server=self.name, id=attempt)
        head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {self.seal()}"
                "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        wrong = 92 if VARIANT == "high" else 0
        writer.write(head.encode())
        for number, piece in ((1, 1), (wrong, 2)):
            event = f"id: {number}\ndata: {attempt}/{piece}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.transport.abort()
        return False


async def turn(fleet, number):
    identity = fleet.new_id()
    channel = standins.Channel(fleet.front(number % fleet.machines))
    answer = await channel.send("POST", "/plan/x", {
        "X-Attempt-Id": identity, "X-Deadline-Ms": "4000", "X-Model": "m",
        "X-Token-Usage": f"1460,{20 * EVENTS}", "Authorization": "Bearer key1"},
        b"input of " + identity.encode())
    channel.close()
    pieces = [line.rsplit(b"/", 1)[1].decode() for line in answer.body.split(b"\n")
              if line.startswith(b"data: ")]
    is_twice = len(set(pieces)) < len(pieces)
    is_short = answer.whole and answer.status == 200 and len(set(pieces)) < EVENTS
    fleet.note("turn", id=identity, machine=number % fleet.machines + 1, answer=answer,
               pieces=",".join(pieces), twice=int(is_twice), short=int(is_short))
    return answer, is_twice, is_short


async def case(fleet):
    await fleet.start_store(CONFIG)
    plain = standins.Server
    for number in range(SERVERS):
        standins.Server = SpoilingServer if number < SPOILING else plain
        await fleet.add_server(f"i-{number:02d}", "llm")
    standins.Server = plain
    await asyncio.gather(*(fleet.start(machine, first=True)
                           for machine in range(fleet.machines)))
    await fleet.wait_ready()
    await asyncio.sleep(3)
    began = time.monotonic()
    turns = []
    while time.monotonic() < began + SENDS_S:
        turns.append(asyncio.create_task(turn(fleet, len(turns))))
        await asyncio.sleep(max(0, began + len(turns) / TURNS_PER_S - time.monotonic()))
    answers = await asyncio.gather(*turns)
    spoiled = sum(server.spoiled for server in fleet.servers[:SPOILING])
    twice = sum(one[1] for one in answers)
    short = sum(one[2] for one in answers)
    print(f"{spoiled} answers spoiled; of {len(answers)} streams {twice} brought a piece "
          f"twice, {short} ended as complete without all pieces")
    return twice + short > 0


standins.play(__file__, case)
