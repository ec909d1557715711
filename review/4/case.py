"""Instances that don't read the servers' entries themselves miss that a server
leaves, if the readers learn it from the complete list."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit"))
sys.dont_write_bytecode = True

from standins import CannotRun, Fleet, main, reset, send  # noqa: E402

HOST = "fjord.example"
DRAIN_S = 2.0  # drain_ms
CONTACT_S = 3.0  # contact_ms
ROUTES = [{"name": "payout", "host": HOST, "path_prefix": "/payout/", "service": "ledger",
           "route_kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 150,
           "max_attempts": 1, "priority": 2}]
SERVICE = {"name": "ledger", "health_path": "/healthz", "max_conns": 110}


def payout(ident):
    return {"Host": HOST, "X-Attempt-Id": ident, "Authorization": "Bearer key-1", "X-Deadline-Ms": "1500"}


async def case(record, trouble, fleets):
    fleet = Fleet(record)
    fleets.append(fleet)
    fleet.deploy(ROUTES, [SERVICE], [{"name": "orchard", "api_keys": ["key-1"]}])
    servers = [await fleet.add_server("ledger", f"i-{i}", f"zone-{i}", slots=6) for i in range(3)]
    for server in servers:
        server.work = 0.15  # within the 200 ms that a payout takes at the most
    for i in range(6):
        await fleet.start_edge(f"edge-{i}", f"zone-{i % 3}")
    await fleet.until_ready()
    calls = []
    fleet.store.on_call = lambda name, call, query: calls.append((time.monotonic(), name, call, query.get("topic")))

    async def pay(edge, ident):
        return await send(edge.front, "POST", "/payout/x", payout(ident), b"10 EUR")

    # Usual traffic, then none for the service for a few seconds.
    for i in range(30):
        await pay(list(fleet.edges.values())[i % 6], f"before-{i}")
    await asyncio.sleep(3.0)
    readers = {name for at, name, call, topic in calls
               if call == "log-read" and topic == "keyed.servers" and at > time.monotonic() - 2}
    others = [edge for edge in fleet.edges.values() if edge.name not in readers]
    if not others:
        raise CannotRun("every instance reads the servers' entries")
    edge = others[0]
    leaving = servers[int(edge.name[-1]) % 3]  # in the zone of that instance
    record(f"{sorted(readers)} read the servers' entries; requests go to {edge.name}")

    # A read of the complete list by that instance, which it repeats every 4 s.
    calls.clear()
    while not any(name == edge.name and call == "log-newest" and topic == "keyed.servers"
                  for _, name, call, topic in calls):
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.2)

    # The server says that it will leave, and the store accepts that. Then the
    # store deletes the older records of the servers' topic; the newest of each
    # server stays.
    leaving.state = "draining"
    leaving.write_entry()
    ack = time.monotonic()
    record(f"{leaving.id} is draining, accepted by the store")
    if trouble:
        topic = fleet.store.partitions[("keyed.servers", 0)]
        topic.first += len(topic.records)
        topic.records.clear()
        record("the store forgets its history")

    # The bound is drain_ms; the store counts as unstable, and so the instance as
    # out of touch, for contact_ms.
    await asyncio.sleep(ack + CONTACT_S + 0.1 - time.monotonic())
    sent = time.monotonic() - ack
    request = asyncio.ensure_future(pay(edge, "late"))
    await asyncio.sleep(0.1)
    if leaving.runs["late"]:
        # It has served drain_ms after the ack and a little longer: now it exits.
        record(f"{leaving.id} exits")
        leaving.task.cancel()
        leaving.listener.close()
        for writer in list(leaving.connections):
            reset(writer)
    answer = await request
    at = [server.id for server in servers if server.runs["late"]]
    record(f"payout sent {sent:.2f} s after the ack: {answer}; run by {at}")
    broken = bool(leaving.runs["late"]) and sent > DRAIN_S
    if broken and not (answer.complete and answer.status == 200):
        record("the payout was run, and its caller got no answer of the server")
    return broken


if __name__ == "__main__":
    main(FOLDER, case)
