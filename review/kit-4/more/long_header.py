"""A client sends requests whose header is inside max_header_bytes. The stand-in of the
platform starts each ended process again."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins  # noqa: E402

MAX_HEADER_BYTES = 131_072
LARGE = 70_000  # bytes of one header's value
ORDINARY = 15_000
ROUNDS = 4

CONFIG = {
    "version": 3,
    "routes": [{"name": "look", "host": "h.example", "path_prefix": "/look/",
                "route_kind": "idempotent", "timeout_ms": 1000, "target_latency_ms": 60,
                "priority": 2, "service": "app", "max_attempts": 2, "retained": False,
                "public": False, "sticky": False, "resumable": False}],
    "services": [{"name": "app", "health_path": "/healthz", "max_conns": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": MAX_HEADER_BYTES, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "press", "api_keys": ["key1"], "priority": 1,
                 "rate_per_s": 302, "burst": 302}]}


async def case(fleet):
    await fleet.start_store(CONFIG)
    for number in range(2):
        await fleet.add_server(f"a-{number}", "app", slots=6)
    await asyncio.gather(*(fleet.start(machine, first=True)
                           for machine in range(fleet.machines)))
    await fleet.wait_ready()
    await asyncio.sleep(2)
    size = LARGE if fleet.trouble else ORDINARY
    ends = [0] * fleet.machines
    answered = 0
    for _ in range(ROUNDS):
        for machine in range(fleet.machines):
            identity = fleet.new_id()
            channel = standins.Channel(fleet.front(machine))
            answer = await channel.send("GET", "/look/x", {
                "X-Attempt-Id": identity, "X-Deadline-Ms": "1000",
                "X-Prompt-Prefix": ("5c1e07a2:800," * (size // 13 + 1))[:size - 1] + "0",
                "Authorization": "Bearer key1"}, timeout=1.5)
            channel.close()
            answered += answer.whole
            fleet.note("request", id=identity, machine=machine + 1, header=size, answer=answer)
            await asyncio.sleep(0.3)
            process = fleet.processes[machine]
            if process.returncode is not None:
                ends[machine] += 1
                reason = [line for line in fleet.log(machine).splitlines() if "fatal" in line]
                fleet.note("ended", machine=machine + 1, code=process.returncode,
                           log=reason[-1] if reason else "")
                await asyncio.sleep(1)
                await fleet.start(machine)
        await fleet.wait_ready()
    text = ", ".join(f"edge-{m + 1}: {ends[m]} ends" for m in range(fleet.machines))
    print(f"{text}; {answered} of {ROUNDS * fleet.machines} requests answered")
    # RULES.md, Fault: on a tenth of the machines, two at least, three times.
    return sum(times >= 3 for times in ends) >= 2


standins.play(__file__, case)
