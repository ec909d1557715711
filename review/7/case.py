"""LOST: a turn that is asked for twice while the store is slow, and given up,
holds its program's budget although it never reached a server."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

import fleet as kit  # noqa: E402

PROGRAMS = 24
MOST, BUDGET = 160, 300  # tokens of a turn at most, and of a program
USUAL_S, SLOW_X, SLOW_S = 0.004, 60, 4.5
CONTACT_S = 3  # contact_ms
TRIES = 6  # the rule: five or more
NEW_PROGRAMS = 20  # whose first turns must reach a server meanwhile
KEY = {"Authorization": "Bearer key-of-the-orchard"}


async def turn(fleet, program, at, previous=""):
    edge = fleet.edges[at % len(fleet.edges)]
    headers = {**KEY, "X-Program-Id": program, "X-Session-Id": program,
               "X-Program-Deadline-Ms": "90000", "X-Model": "m",
               "X-Token-Budget": str(BUDGET),
               "X-Token-Usage": f"1460,{MOST}",
               "X-Prompt-Prefix": "5c1e07a2:1400,91bd:60"}
    if previous:
        headers["X-Previous-Turn"] = previous
    got = await kit.send(fleet, edge, "POST", "/talk/4b", headers, b"go on", 4)
    got.ran = got.identity in fleet.run_by
    return got


async def begin(fleet, number):
    """The turn of an earlier program that a later one goes on from."""
    return await turn(fleet, f"earlier-{number}", number)


async def go_on_while_slow(fleet, number, previous, until):
    """The first turn of a later program: sent, and once more after a 503, as
    its requester does. @return whether it reached a server."""
    for attempt in range(2):
        if fleet.record.now() > until:
            break
        got = await turn(fleet, f"later-{number}", number + attempt, previous)
        if got.ran or got.status != 503:
            return True
        await asyncio.sleep(float(got.headers.get("retry-after", "0")))
    return False


async def try_again(fleet, number, previous):
    """@return the statuses of tries that reached no server; nothing if one
    did."""
    statuses = []
    for attempt in range(TRIES):
        got = await turn(fleet, f"later-{number}", number + attempt, previous)
        if got.ran:
            return None
        statuses.append(got.status)
        await asyncio.sleep(float(got.headers.get("retry-after", "0.3")))
    return statuses


async def case(fleet):
    await fleet.start_store()
    fleet.store.put("keyed.op", "config", kit.config(
        [kit.route("talk", "streaming", "llm", retained=True)],
        [{"name": "orchard", "api_keys": ["key-of-the-orchard"],
          "priority": 1, "rate_per_s": 302, "burst": 302}]))
    await fleet.start_servers({"llm": 3})
    await fleet.start_edges(3)
    await asyncio.sleep(22)
    earlier = await asyncio.gather(*(begin(fleet, n) for n in range(PROGRAMS)))
    if not all(got.whole and got.status == 200 for got in earlier):
        raise RuntimeError("an earlier turn was not answered whole")
    if kit.TROUBLE:
        fleet.record.line("the store is slow")
        fleet.store.answer_s = USUAL_S * SLOW_X
    slow_until = fleet.record.now() + SLOW_S
    ran = await asyncio.gather(*(
        go_on_while_slow(fleet, n, got.identity, slow_until - 2)
        for n, got in enumerate(earlier)))
    await asyncio.sleep(max(0, slow_until - fleet.record.now()))
    fleet.store.answer_s = USUAL_S
    fleet.record.line(f"the store is as usual; {sum(ran)} of {PROGRAMS} later "
                      f"programs have reached a server")
    await asyncio.sleep(CONTACT_S + 1)
    waiting = [n for n in range(PROGRAMS) if not ran[n]]
    ends, new = await asyncio.gather(
        asyncio.gather(*(try_again(fleet, n, earlier[n].identity)
                         for n in waiting)),
        asyncio.gather(*(turn(fleet, f"new-{n}", n)
                         for n in range(NEW_PROGRAMS))))
    lost = [(n, end) for n, end in zip(waiting, ends) if end is not None]
    for number, end in lost:
        fleet.record.line(f"later-{number} reached no server: {end}")
    served = sum(got.ran for got in new)
    text = (f"{len(lost)} of {PROGRAMS} turns reached no server in {TRIES} "
            f"tries; {served} of {NEW_PROGRAMS} first turns did")
    fleet.record.line(text)
    print(text)
    if served * 10 < NEW_PROGRAMS * 9:
        raise RuntimeError("too few first turns reached a server")
    return kit.BROKEN if lost else kit.HELD


kit.main(FOLDER, case)
