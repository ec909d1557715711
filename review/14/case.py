"""Memory: a machine keeps the history of each turn whose tokens were not
covered at once, until its link to the holder ends. See claim.txt."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "kit-3"))
from standins import RETAINED_ROUTE, Channel, Fleet, model_service, run, tenant  # noqa: E402

MEMORY_MB = 130  # of a machine
BODY_BYTES = 17000  # of a turn; `req_bytes` of frukt-samtale
TURNS = 14  # of a program; the most of frukt-samtale
CHANNELS = 6
PER_S = 30  # turns a second
LENGTH_S = 95


async def case(record, trouble, fleets):
    fleet = Fleet(edges=3, memory_mb=MEMORY_MB)
    fleets.append(fleet)
    for number in range(3):
        fleet.add_server("llm", "z%d" % number)
    fleet.configure([RETAINED_ROUTE], [tenant("guest"), tenant("orchard")],
                    [model_service()])
    await fleet.start()
    await asyncio.sleep(2)
    holders = list(fleet.holders().values())
    machine = min(fleet.edges, key=holders.count)
    record("%s holds %d of %d slots and serves the client" % (
        machine.name, holders.count(machine), fleet.parts))
    began = time.monotonic()
    counts = {}
    stored = [0]
    over = []

    async def requester(name, key, pause):
        """Programs one after the other, on a kept channel to one machine. Each
        turn may generate one token more than the one before."""
        channel = Channel((machine.ip, machine.front))
        program = 0
        while time.monotonic() < began + LENGTH_S and not over:
            program += 1
            previous = None
            for turn in range(TURNS):
                sent = time.monotonic()
                attempt = "%s-%d-%d" % (name, program, turn)
                headers = {
                    "Host": "talk.example", "X-Attempt-Id": attempt, "X-Model": "m",
                    "X-Token-Usage": "840,%d" % (100 + turn), "X-Deadline-Ms": "4000",
                    "X-Token-Budget": "20000", "X-Program-Id": "%s-%d" % (name, program),
                    "X-Session-Id": "s", "X-Program-Deadline-Ms": "60000",
                    "Authorization": "Bearer " + key}
                if previous:
                    headers["X-Previous-Turn"] = previous
                answer = await channel.send("POST", "/talk/x?events=5&gap_ms=4", headers,
                                            b"i" * BODY_BYTES, timeout=6)
                what = "%d %s" % (answer.status, "whole" if answer.complete else "cut")
                counts[what] = counts.get(what, 0) + 1
                if answer.status != 200 or not answer.complete:
                    break
                stored[0] += BODY_BYTES + len(answer.body)
                previous = attempt
                await asyncio.sleep(max(0.0, pause - (time.monotonic() - sent)))

    tasks = [requester("o", "key-orchard", 0.5)]
    if trouble:
        tasks += [requester("g%d" % number, "key-guest", CHANNELS / PER_S)
                  for number in range(CHANNELS)]
    tasks = [asyncio.ensure_future(task) for task in tasks]
    while time.monotonic() < began + LENGTH_S and not over:
        await asyncio.sleep(5)
        memory = [edge.memory_mb() for edge in fleet.edges]
        record("memory in MB: %s; turns: %s; inputs and outputs of all turns, also the "
               "expired ones: %.1f MB" % (", ".join("%.0f" % mb for mb in memory), counts,
                                          stored[0] / 1e6))
        over = [edge.name for edge, mb in zip(fleet.edges, memory) if mb > MEMORY_MB]
    record("over %d MB, so that the platform kills them: %s" % (MEMORY_MB, over or "none"))
    return bool(over)


run(case, HERE)
