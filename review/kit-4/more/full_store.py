"""Many programs send kept turns of an allowed size at an allowed rate until what the
system has written fills the platform's store."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins  # noqa: E402

TURNS_PER_S = 50
LARGE = 100_000  # bytes of a turn's input: the most on the sheet
ORDINARY = 1_680
SENDS_S = 88
CHANNELS = 64
MEMORY_MB = 290
TENANTS = 8

CONFIG = {
    "version": 3,
    "routes": [{"name": "talk", "host": "h.example", "path_prefix": "/talk/",
                "route_kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 200,
                "priority": 0, "service": "llm", "max_attempts": 2, "retained": True,
                "retention_s": 60, "public": False, "sticky": True,
                "resumable": False, "gap_target_ms": 250}],
    "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 210,
                  "protocol": "h1", "tls": False,
                  "runtime": {"slots": 24, "kv_capacity": 657246, "chunk_tokens": 20}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": f"orchard{n}", "api_keys": [f"key{n}"], "priority": 1,
                 "rate_per_s": 157, "burst": 157} for n in range(TENANTS)]}


class Client:
    """Sends one turn after the other on a kept channel."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.machine = number % fleet.machines
        self.channel = standins.Channel(fleet.front(self.machine))
        self.program = f"p{number}-{fleet.new_id()[:6]}"
        self.answers = []

    async def run(self, until, size, offset):
        gap = CHANNELS / TURNS_PER_S
        at = time.monotonic() + offset
        while at < until:
            await asyncio.sleep(max(0, at - time.monotonic()))
            at = max(at + gap, time.monotonic())
            await self.turn(size)

    async def turn(self, size):
        identity = self.fleet.new_id()
        kept = self.channel.writer is not None
        began = time.monotonic()
        answer = await self.channel.send("POST", "/talk/x", {
            "X-Attempt-Id": identity, "X-Program-Id": self.program,
            "X-Session-Id": identity, "X-Program-Deadline-Ms": "90000",
            "X-Token-Budget": "1000000", "X-Token-Usage": f"{size},60",
            "X-Deadline-Ms": "4000", "X-Model": "m",
            "Authorization": f"Bearer key{self.number % TENANTS}"},
            (identity.encode() * (size // 16 + 1))[:size], timeout=4.5)
        took = time.monotonic() - began
        self.answers.append((identity, kept, answer, took))
        self.fleet.note("turn", id=identity, machine=self.machine + 1, kept=int(kept),
                        bytes=size, answer=answer, events=answer.events,
                        took=f"{took:.3f}")


async def case(fleet):
    await fleet.start_store(CONFIG)
    for number in range(6):
        await fleet.add_server(f"i-{number}", "llm")
    await asyncio.gather(*(fleet.start(machine, first=True)
                           for machine in range(fleet.machines)))
    await fleet.wait_ready()
    await asyncio.sleep(2)
    # At a first start one process may hold all slots. A planned restart of it, before
    # the traffic, spreads them, and with them the memory that the turns take.
    first = fleet.holder()
    await fleet.end(first, standins.signal.SIGTERM)
    await fleet.processes[first].wait()
    await fleet.start(first)
    await fleet.wait_ready()
    await asyncio.sleep(2)
    clients = [Client(fleet, number) for number in range(CHANNELS)]
    size = LARGE if fleet.trouble else ORDINARY
    until = time.monotonic() + SENDS_S
    most = [0] * fleet.machines

    async def watch():
        while True:
            for machine in range(fleet.machines):
                most[machine] = max(most[machine], fleet.megabytes(machine))
            await asyncio.sleep(0.2)

    watching = asyncio.create_task(watch())
    await asyncio.gather(*(client.run(until, size, n / TURNS_PER_S)
                           for n, client in enumerate(clients)))
    watching.cancel()
    if max(most) > MEMORY_MB:  # the platform would have killed it
        raise standins.CannotRun(f"a process used {max(most):.0f} MB")
    ran = {identity for _, _, identity, _, _, _ in fleet.runs}
    answers = [one for client in clients for one in client.answers]
    lost = [one for one in answers if one[1] and one[0] in ran and not one[2].whole]
    refused = sum(one[2].status == 503 for one in answers)
    ended = sum(process.returncode is not None for process in fleet.processes.values())
    for identity, _, answer, took in lost:
        fleet.note("lost", id=identity, answer=answer, events=answer.events)
    stored = sum(part.bytes for part in fleet.store.partitions.values())
    print(f"{len(answers)} turns, {sum(one[2].whole and one[2].status == 200 for one in answers)}"
          f" whole, {refused} refused with 503, {len(lost)} ran at a server and ended without "
          f"a whole answer on a kept channel; {stored / 1e6:.0f} MB in the store, "
          f"{fleet.store.full} appends refused with 507, {ended} processes ended, at most {max(most):.0f} MB in one")
    return len(lost) > 3


case.fleet_options = {"machines": 8, "zones": ("z1",) * 8, "memory_mb": MEMORY_MB}
standins.play(__file__, case)
