"""A request crashes each server that begins to run it, and comes again. Other requests
of its team begin with the same shared part of the prompt."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-4"))
import standins  # noqa: E402

SERVERS = 12
SOUND_PER_S = 10
DEADLY_GAP_S = 2.0  # from the end of one copy to the next
BACK_S = 3.0  # a crashed server is back
RUN_S = 45
CONTACT_S = 3.0  # contact_ms
SHARED = b"You plan pressing days for the members of an orchard co-operative. " * 200
# distinct: the other requests begin with bytes of their own; then the rule holds.
VARIANT = os.environ.get("VARIANT", "")
DEADLY = b"the input that crashes servers"

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


async def send(fleet, machine, body, prefix):
    identity = fleet.new_id()
    channel = standins.Channel(fleet.front(machine))
    answer = await channel.send("POST", "/plan/x", {
        "X-Attempt-Id": identity, "X-Deadline-Ms": "4000", "X-Model": "m",
        "X-Token-Usage": "13400,60", "X-Prompt-Prefix": f"5c1e07a2:13400,{prefix}:20",
        "Authorization": "Bearer key1"}, body)
    channel.close()
    fleet.note("request", id=identity, machine=machine + 1,
               deadly=int(body.endswith(DEADLY)), answer=answer)
    return answer


async def case(fleet):
    await fleet.start_store(CONFIG)
    crashes, tasks = [], []
    deadly_runs = []  # at servers

    def on_run(server):
        def begins(headers, body):
            if not body.endswith(DEADLY):
                return False
            deadly_runs.append((time.monotonic(), headers["x-attempt-id"], server.name))
            if not fleet.trouble:
                return False
            crashes.append(time.monotonic())
            fleet.note("crash", server=server.name, id=headers["x-attempt-id"],
                       number=len(crashes))
            tasks.append(asyncio.create_task(server.crash(BACK_S)))
            return True
        return begins

    for number in range(SERVERS):
        server = await fleet.add_server(f"i-{number:02d}", "llm")
        server.on_run = on_run(server)
    await asyncio.gather(*(fleet.start(machine, first=True)
                           for machine in range(fleet.machines)))
    await fleet.wait_ready()
    await asyncio.sleep(4)
    until = time.monotonic() + RUN_S
    sound = []

    async def send_sound():
        number = 0
        while time.monotonic() < until:
            body = SHARED + b"question %d" % number
            if VARIANT == "distinct":
                body = b"question %d: " % number + SHARED
            sound.append(asyncio.create_task(
                send(fleet, number % 3, body, f"{number:08x}")))
            number += 1
            await asyncio.sleep(1 / SOUND_PER_S)

    sending = asyncio.create_task(send_sound())
    sent = []
    number = 0
    while time.monotonic() < until:
        sent.append(time.monotonic())
        await send(fleet, number % 3, SHARED + DEADLY, "ffffffff")
        number += 1
        await asyncio.sleep(DEADLY_GAP_S)
    await sending
    answers = await asyncio.gather(*sound)
    await asyncio.gather(*tasks)

    # Retries that reached a server, sent later than contact_ms after the third crash.
    late = set()
    if len(crashes) >= 3:
        third = crashes[2]
        late = {identity for at, identity, _ in deadly_runs if at > third + CONTACT_S}
    served = sum(answer.status == 200 and answer.whole for answer in answers)
    print(f"{number} copies of the request, {len(deadly_runs)} runs at servers, "
          f"{len(crashes)} crashes; {len(late)} copies reached a server later than "
          f"{CONTACT_S:.0f} s after the third crash, 3 are allowed; {served} of "
          f"{len(answers)} sound requests served")
    fleet.note("sum", crashes=len(crashes), late=len(late), allowed=3)
    return len(late) > 3


standins.play(__file__, case)
