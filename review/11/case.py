"""Some servers spoil a few of their streams: the id of an event is too long, and then the
stream is broken off. The stand-in of the platform starts each ended process again."""

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
SENDS_S = 75
SPOILED_BYTES = 70_000

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
        event = b"id: 1" + b"\xf3" * SPOILED_BYTES + f"\ndata: {attempt}/1\n\n".encode()
        writer.write(head.encode() + b"%x\r\n" % len(event) + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.transport.abort()
        return False


async def turn(fleet, number):
    identity = fleet.new_id()
    channel = standins.Channel(fleet.front(number % fleet.machines))
    answer = await channel.send("POST", "/plan/x", {
        "X-Attempt-Id": identity, "X-Deadline-Ms": "4000", "X-Model": "m",
        "X-Token-Usage": "1460,60", "Authorization": "Bearer key1"},
        b"input of " + identity.encode())
    channel.close()
    fleet.note("turn", id=identity, machine=number % fleet.machines + 1, answer=answer)
    return answer


async def platform(fleet, machine, ends):
    """Starts an ended process again after a short delay."""
    while True:
        code = await fleet.processes[machine].wait()
        ends[machine] += 1
        reason = [line for line in fleet.log(machine).splitlines() if '"fatal"' in line]
        fleet.note("ended", machine=machine + 1, code=code, log=reason[-1] if reason else "")
        await asyncio.sleep(1)
        await fleet.start(machine)


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
    ends = [0] * fleet.machines
    watching = [asyncio.create_task(platform(fleet, machine, ends))
                for machine in range(fleet.machines)]
    began = time.monotonic()
    turns = []
    while time.monotonic() < began + SENDS_S:
        turns.append(asyncio.create_task(turn(fleet, len(turns))))
        await asyncio.sleep(max(0, began + len(turns) / TURNS_PER_S - time.monotonic()))
    answers = await asyncio.gather(*turns)
    for task in watching:
        task.cancel()
    spoiled = sum(server.spoiled for server in fleet.servers[:SPOILING])
    served = sum(answer.status == 200 and answer.whole for answer in answers)
    text = ", ".join(f"edge-{m + 1}: {ends[m]} ends" for m in range(fleet.machines))
    print(f"{spoiled} answers spoiled; {text}; {served} of {len(answers)} turns whole")
    # RULES.md, Fault: on a tenth of the machines, two at least, three times.
    return sum(times >= 3 for times in ends) >= 2


standins.play(__file__, case)
