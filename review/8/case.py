"""BUDGET: a program goes on 26 s after the holder of its budget was killed."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

import fleet as kit  # noqa: E402

MOST = 80  # tokens of one turn at most: 4 events of 20 tokens
BUDGET = 12 * MOST
EARLY_TURNS = 3
PROGRAMS = 16
TOOL_CALLS = 22
KEY = {"Authorization": "Bearer key-of-the-orchard"}


def headers_of(program):
    return {**KEY, "X-Program-Id": program, "X-Session-Id": program,
            "X-Program-Deadline-Ms": "90000"}


class Program:
    def __init__(self, fleet, number):
        self.fleet, self.name = fleet, f"program-{number}"
        self.tokens = 0
        self.turns = 0
        self.at = number  # the edge of the next request

    def edge(self):
        """The platform sends requests to machines that are up."""
        up = [edge for edge in self.fleet.edges if edge.is_up]
        self.at += 1
        return up[self.at % len(up)]

    async def turn(self):
        """Sends one turn until it is answered. @return its status."""
        self.turns += 1
        body = f"prompt of turn {self.turns}".encode()
        got = None
        for _ in range(8):
            got = await kit.send(
                self.fleet, self.edge(), "POST", "/plan/4b",
                {**headers_of(self.name), "X-Model": "m",
                 "X-Token-Budget": str(BUDGET),
                 "X-Token-Usage": f"1460,{MOST}",
                 "X-Prompt-Prefix": f"5c1e07a2:1400,{self.turns:x}:60"},
                body, 4)
            self.tokens += got.events * self.fleet.tokens_per_event
            if got.whole and got.status in (200, 402):
                break
            await asyncio.sleep(0.3)
        return got.status if got.whole else 0

    async def tools(self):
        """Tools that work for 1.2 s each, one after the other."""
        for _ in range(TOOL_CALLS):
            for _ in range(3):
                got = await kit.send(self.fleet, self.edge(), "GET",
                                     "/lookup/1", headers_of(self.name),
                                     timeout=3)
                if got.whole and got.status == 200:
                    break

    async def begin(self):
        for _ in range(EARLY_TURNS):
            await self.turn()

    async def go_on(self):
        status = 200
        while status == 200 and self.tokens <= 3 * BUDGET:
            status = await self.turn()
        return status


async def strike(fleet):
    """SIGKILL of one machine, which is back 3.5 s later."""
    owners = list(fleet.slot_owners().values())
    edge = max(fleet.edges, key=owners.count)
    edge.is_up = False
    await edge.kill()
    await asyncio.sleep(3.5)
    await edge.start()
    await asyncio.sleep(2)
    edge.is_up = True


async def case(fleet):
    fleet.work_s = 1.2
    await fleet.start_store()
    fleet.store.put("keyed.op", "config", kit.config(
        [kit.route("plan", "streaming", "llm", resumable=True),
         kit.route("lookup", "idempotent", "app", timeout_ms=3000)],
        [{"name": "orchard", "api_keys": ["key-of-the-orchard"],
          "priority": 1, "rate_per_s": 302, "burst": 302}]))
    await fleet.start_servers({"llm": 3, "app": 2})
    await fleet.start_edges(3)
    for edge in fleet.edges:
        edge.is_up = True
    await asyncio.sleep(24)  # the fleet's own first takeovers are long over
    programs = [Program(fleet, number) for number in range(PROGRAMS)]
    await asyncio.gather(*(program.begin() for program in programs))
    blow = asyncio.ensure_future(strike(fleet)) if kit.TROUBLE else None
    await asyncio.gather(*(program.tools() for program in programs))
    if blow:
        await blow
    ends = await asyncio.gather(*(program.go_on() for program in programs))
    broken = 0
    for program, end in zip(programs, ends):
        over = program.tokens > BUDGET + MOST
        broken += over
        fleet.record.line(
            f"{program.name}: {program.tokens} tokens handed out, budget "
            f"{BUDGET}, one turn {MOST}, last status {end}"
            f"{', BROKEN' if over else ''}")
    print(f"{broken} of {PROGRAMS} programs got more than budget + one turn")
    return kit.BROKEN if broken else kit.HELD


kit.main(FOLDER, case)
