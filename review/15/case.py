"""Programs send turns on a route that keeps them and on one that doesn't. A process is
killed, and they go on. The tokens handed out before and after are added up."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-4"))
import standins  # noqa: E402

PROGRAMS = 16
BUDGET = 1200  # tokens of a program
MOST = 60  # of a turn: three events of 20
TURNS_BEFORE = 6  # 360 of 1,200 tokens
RETENTION_S = 60
AWAY_S = 3  # from the restart to the program's next turn
# plain: all turns are on the route that keeps none; then the rule holds.
VARIANT = os.environ.get("VARIANT", "")

CONFIG = {
    "version": 3,
    "routes": [{"name": "plan", "host": "h.example", "path_prefix": "/plan/",
                "route_kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 200,
                "priority": 1, "service": "llm", "max_attempts": 2, "retained": False,
                "retention_s": RETENTION_S, "public": False, "sticky": True,
                "resumable": True, "gap_target_ms": 250},
               {"name": "talk", "host": "h.example", "path_prefix": "/talk/",
                "route_kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 200,
                "priority": 1, "service": "llm", "max_attempts": 2, "retained": True,
                "retention_s": RETENTION_S, "public": False, "sticky": True,
                "resumable": False, "gap_target_ms": 250}],
    "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 210,
                  "protocol": "h1", "tls": False,
                  "runtime": {"slots": 24, "kv_capacity": 657246, "chunk_tokens": 20}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "orchard", "api_keys": ["key1"], "priority": 1,
                 "rate_per_s": 2000, "burst": 2000}]}


class Program:
    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.name = f"p{number:02d}{fleet.new_id()[:6]}"
        self.tokens = 0

    async def turn(self, machine, path="/plan/x"):
        """One turn, with a retry at another machine, as clients send it."""
        for attempt in range(3):
            identity = self.fleet.new_id()
            channel = standins.Channel(self.fleet.front((machine + attempt) % 3))
            answer = await channel.send("POST", path, {
                "X-Attempt-Id": identity, "X-Program-Id": self.name,
                "X-Session-Id": "s1", "X-Program-Deadline-Ms": "90000",
                "X-Token-Budget": str(BUDGET), "X-Token-Usage": f"100,{MOST}",
                "X-Deadline-Ms": "4000", "X-Model": "m",
                "Authorization": "Bearer key1"}, b"input of " + identity.encode())
            channel.close()
            self.tokens += 20 * answer.events
            self.fleet.note("turn", program=self.name, id=identity, answer=answer,
                            events=answer.events, tokens=self.tokens)
            if answer.status in (200, 402):
                return answer
            await asyncio.sleep(0.25)
        return answer


async def case(fleet):
    await fleet.start_store(CONFIG)
    for number in range(4):
        await fleet.add_server(f"i-{number}", "llm")
    await asyncio.gather(*(fleet.start(machine, first=True)
                           for machine in range(fleet.machines)))
    await fleet.wait_ready()
    await asyncio.sleep(4)

    programs = [Program(fleet, number) for number in range(PROGRAMS)]

    async def begin(program):
        for number in range(TURNS_BEFORE):
            await program.turn((program.number + number) % 3)
            await asyncio.sleep(0.05)

    await asyncio.gather(*(begin(program) for program in programs))
    for program in programs:
        if program.tokens != TURNS_BEFORE * MOST:
            raise standins.CannotRun("a program wasn't served before the kill")
    fleet.note("before", programs=PROGRAMS, tokens_each=TURNS_BEFORE * MOST)

    holder = fleet.holder()
    if fleet.trouble:
        await fleet.kill(holder)
        await asyncio.sleep(1)
        await fleet.start(holder)
    await asyncio.sleep(AWAY_S)

    async def go_on(program):
        refused = 0
        if VARIANT != "plain":
            await program.turn(program.number % 3, "/talk/x")
        for number in range(60):  # more than the whole budget
            answer = await program.turn((program.number + number) % 3)
            refused += answer.status == 402
            if refused >= 3:  # a program that loops sends a turn twice more after a 402
                break
            await asyncio.sleep(0.02)

    await asyncio.gather(*(go_on(program) for program in programs))
    over = 0
    for program in programs:
        broken = program.tokens > BUDGET + MOST
        over += broken
        fleet.note("program", name=program.name, tokens=program.tokens,
                   allowed=BUDGET + MOST, over=int(broken))
    print(f"{over} of {PROGRAMS} programs got more than {BUDGET + MOST} tokens, "
          f"at most {max(program.tokens for program in programs)}")
    return over > 0


standins.play(__file__, case)
