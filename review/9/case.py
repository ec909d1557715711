"""QUOTA: the machine that holds a tenant's quota is cut off from the store and
from the other machines; requesters and servers still reach it."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

import fleet as kit  # noqa: E402

TENANT = "orchard"
RATE, BURST = 40, 40
WINDOW_S, OVERSHOOT, SLACK = 5, 0.1, 20
SENT_PER_S = 180  # a hot tenant, spread evenly over three machines
CALM_S, CUT_S, AFTER_S = 6, 12, 4
EDGES = 3
KEY = {"Authorization": "Bearer key-of-the-orchard"}


async def offer(fleet, seconds, answers):
    """Sends the tenant's requests at an even pace to all machines."""
    began = time.monotonic()
    tasks = []
    for number in range(int(seconds * SENT_PER_S)):
        await asyncio.sleep(
            max(0, began + number / SENT_PER_S - time.monotonic()))
        edge = fleet.edges[number % EDGES]
        tasks.append(asyncio.ensure_future(
            kit.send(fleet, edge, "GET", "/lookup/1", KEY, timeout=1)))
    answers += await asyncio.gather(*tasks)


def holder_of_quota(fleet):
    """The machine that keeps the quota: the one that holds the part of the
    store's topic in which the tenant's tokens are recorded."""
    parts = [part for (topic, part), kept in fleet.store.partitions.items()
             if topic == "celerykeel.slots" and
             any(TENANT.encode() in record for record in kept.records)]
    if len(parts) != 1:
        raise RuntimeError(f"the quota is recorded in parts {parts}")
    return fleet.slot_owners()[parts[0]]


def most_in_window(fleet, answers):
    """The most requests that were sent and ran within one window."""
    both = sorted((got.sent_at, fleet.run_by[got.identity][-1])
                  for got in answers if got.identity in fleet.run_by)
    most, at = 0, 0
    for index, (start, _) in enumerate(both):
        count = 0
        for sent, ran in both[index:]:
            if sent > start + WINDOW_S:
                break
            count += ran <= start + WINDOW_S
        if count > most:
            most, at = count, start
    return most, at


async def case(fleet):
    await fleet.start_store()
    fleet.store.put("keyed.op", "config", kit.config(
        [kit.route("lookup", "idempotent", "app", timeout_ms=1000)],
        [{"name": TENANT, "api_keys": ["key-of-the-orchard"], "priority": 1,
          "rate_per_s": RATE, "burst": BURST}]))
    await fleet.start_servers({"app": 3})
    ways = kit.Ways(fleet, EDGES)
    await ways.listen()
    await fleet.start_edges(EDGES, ways.store_ip)
    await asyncio.sleep(2)
    answers = []
    offering = asyncio.ensure_future(
        offer(fleet, CALM_S + CUT_S + AFTER_S, answers))
    await asyncio.sleep(CALM_S)
    holder = holder_of_quota(fleet)
    fleet.record.line(f"the quota is kept by {holder.name}")
    if kit.TROUBLE:
        fleet.record.line(f"{holder.name} is cut off")
        ways.cut(holder.number)
    await asyncio.sleep(CUT_S)
    if kit.TROUBLE:
        fleet.record.line(f"{holder.name} is reached again")
        ways.heal()
    await offering
    allowed = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
    most, at = most_in_window(fleet, answers)
    by_edge = {edge.name: sum(1 for got in answers[n::EDGES]
                              if got.status == 200)
               for n, edge in enumerate(fleet.edges)}
    text = (f"most in {WINDOW_S} s: {most}, from second {at:.1f}; allowed "
            f"{allowed:.0f}; answered 200 by machine: {by_edge}")
    fleet.record.line(text)
    print(text)
    return kit.BROKEN if most > allowed else kit.HELD


kit.main(FOLDER, case)
