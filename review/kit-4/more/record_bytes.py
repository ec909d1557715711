"""Kept turns with an input that is inside max_body_bytes and larger than one record of
the store, in calm."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins  # noqa: E402

LARGE = 300_000  # bytes; max_body_bytes is 4,194,304, record_bytes 262,144
ORDINARY = 1_680
TURNS = 10

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
    "tenants": [{"name": "orchard", "api_keys": ["key1"], "priority": 1,
                 "rate_per_s": 302, "burst": 302}]}


async def case(fleet):
    await fleet.start_store(CONFIG)
    for number in range(4):
        await fleet.add_server(f"i-{number}", "llm")
    await asyncio.gather(*(fleet.start(machine, first=True)
                           for machine in range(fleet.machines)))
    await fleet.wait_ready()
    await asyncio.sleep(4)
    size = LARGE if fleet.trouble else ORDINARY
    lost = whole = 0
    channels = [standins.Channel(fleet.front(machine)) for machine in range(3)]

    async def turn(channel, size):
        identity = fleet.new_id()
        kept = channel.writer is not None
        answer = await channel.send("POST", "/talk/x", {
            "X-Attempt-Id": identity, "X-Program-Id": identity[:6], "X-Session-Id": "s1",
            "X-Program-Deadline-Ms": "60000", "X-Token-Budget": "6000",
            "X-Token-Usage": f"{size},60", "X-Deadline-Ms": "4000", "X-Model": "m",
            "Authorization": "Bearer key1"},
            (identity.encode() * (size // 16 + 1))[:size], timeout=4.5)
        ran = any(run[2] == identity for run in fleet.runs)
        fleet.note("turn", id=identity, bytes=size, kept=int(kept), ran=int(ran),
                   answer=answer, events=answer.events)
        return kept and ran and not answer.whole, answer.status == 200 and answer.whole

    for number in range(TURNS):
        channel = channels[number % 3]
        # An ordinary turn first, so that the channel is a kept one.
        _, is_whole = await turn(channel, ORDINARY)
        if not is_whole:
            raise standins.CannotRun("an ordinary turn wasn't answered")
        is_lost, is_whole = await turn(channel, size)
        lost += is_lost
        whole += is_whole
    print(f"{TURNS} turns of {size} bytes: {whole} answered whole, {lost} ran at a server "
          f"and ended without a whole answer on a kept channel")
    return lost > 3


standins.play(__file__, case)
