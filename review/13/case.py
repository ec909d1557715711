"""BUDGET: a program that comes back after its holder was killed gets the
unrecorded part of its budget a second time. See claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "kit-3"))
from standins import RESUMABLE_ROUTE, Channel, Fleet, model_service, run, tenant  # noqa: E402

BUDGET = 3000  # X-Token-Budget of the program
MOST = 100  # tokens that one turn generates at most
CHUNK = 20  # chunk_tokens of the service's runtime
AWAY_S = 25  # below the route's retention_s (60)

class Program:
    def __init__(self, record, name):
        self.record, self.name = record, name
        self.turns = self.tokens = 0

    async def turn(self, edge):
        """Sends one turn, up to three times; returns the last answer."""
        for _ in range(3):
            self.turns += 1
            channel = Channel((edge.ip, edge.front))
            answer = await channel.send(
                "POST", "/plan/x?events=%d&gap_ms=4" % (MOST // CHUNK), {
                    "Host": "plan.example", "X-Attempt-Id": "%s-%d" % (self.name, self.turns),
                    "X-Model": "m", "X-Token-Usage": "400,%d" % MOST,
                    "X-Deadline-Ms": "4000", "X-Token-Budget": str(BUDGET),
                    "X-Program-Id": self.name, "X-Session-Id": self.name,
                    "X-Program-Deadline-Ms": "90000",
                    "Authorization": "Bearer key-orchard"}, b"input")
            channel.close()
            self.tokens += answer.events * CHUNK
            self.record("%s turn %d at %s: %s; tokens handed out so far: %d" % (
                self.name, self.turns, edge.name, answer, self.tokens))
            if answer.status in (200, 402):
                break
            await asyncio.sleep(0.3)
        return answer


async def case(record, trouble, fleets):
    fleet = Fleet(edges=3)
    fleets.append(fleet)
    for number in range(3):
        fleet.add_server("llm", "z%d" % number)
    fleet.configure([RESUMABLE_ROUTE], [tenant("orchard")], [model_service(CHUNK)])
    await fleet.start()
    await asyncio.sleep(2)  # all slots have holders

    program = Program(record, "prog-1")
    # Nine turns, less than a third of the budget.
    for _ in range(9):
        await program.turn(fleet.edges[0])
    slots = [line["slot"] for edge in fleet.edges for line in edge.lines("turn")]
    holder = fleet.holder(slots[0])
    record("the program's slot %d is held by %s" % (slots[0], holder.name))
    if trouble:
        holder.kill()
        record("killed %s" % holder.name)
        await asyncio.sleep(2)
        holder.start()
        record("started %s again" % holder.name)
    else:
        await asyncio.sleep(2)
    await asyncio.sleep(AWAY_S - 2)
    await fleet.ready()
    record("slot %d is held by %s now" % (slots[0], fleet.holder(slots[0]).name))
    while program.turns < 90:
        answer = await program.turn(fleet.edges[0])
        if answer.status != 200:
            break
    record("the program was handed %d tokens; allowed: %d + %d" % (
        program.tokens, BUDGET, MOST))
    return program.tokens > BUDGET + MOST


run(case, HERE)
