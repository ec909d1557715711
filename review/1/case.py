"""An expired turn is dropped while a new holder reads the log of a slot, and with
it all later turns of its chain."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit"))
sys.dont_write_bytecode = True

from standins import CannotRun, Fleet, main, send  # noqa: E402

RETENTION_S = 60  # as on the sites (keep_s)
INPUT_BYTES = 17000  # mean of a turn's request on the sites
TURNS_PER_S = 150  # of the whole deployment; about 200 on a day of the site
HOST = "fjord.example"
ROUTE = {
    "name": "talk", "host": HOST, "path_prefix": "/talk/", "service": "llm",
    "route_kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 200,
    "gap_target_ms": 250, "max_attempts": 2, "priority": 0, "sticky": True,
    "retained": True, "retention_s": RETENTION_S,
}
SERVICE = {"name": "llm", "health_path": "/healthz", "max_conns": 210,
           "runtime": {"slots": 24, "kv_capacity": 657246, "chunk_tokens": 20}}


def headers(ident, program, previous):
    given = {
        "Host": HOST, "X-Attempt-Id": ident, "Authorization": "Bearer key-1",
        "X-Model": "m", "X-Deadline-Ms": "4000", "X-Token-Usage": "840,120",
        "X-Program-Id": program, "X-Session-Id": program,
        "X-Program-Deadline-Ms": "90000", "X-Token-Budget": "4712",
    }
    if previous:
        given["X-Previous-Turn"] = previous
    return given


async def case(record, trouble, fleets):
    fleet = Fleet(record)
    fleets.append(fleet)
    fleet.deploy([ROUTE], [SERVICE], [{"name": "orchard", "api_keys": ["key-1"]}])
    for i in range(3):
        server = await fleet.add_server("llm", f"i-{i}", f"zone-{i}")
        server.events, server.pause = 4, 0.005
    for i in range(5):
        await fleet.start_edge(f"edge-{i}", f"zone-{i % 3}")
    await fleet.until_ready()
    fronts = [edge.front for edge in fleet.edges.values()]

    def body_of(ident):
        return (f"<{ident}>" * (INPUT_BYTES // (len(ident) + 2) + 1))[:INPUT_BYTES].encode()

    async def turn(ident, program, previous, fronts):
        """Sends a turn, and again after a refusal, as a requester does."""
        answer = None
        for attempt in range(3):
            name = f"{ident}{'abc'[attempt]}"
            front = fronts[attempt % len(fronts)]
            answer = await send(front, "POST", "/talk/x", headers(name, program, previous), body_of(name))
            answer.ident = name
            if answer.complete and answer.status != 503:
                break
            record.quiet(f"{name}: {answer}")
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.3")) if answer.headers else 0.3)
        return answer

    # The first turn of the conversation. Its slot is the partition that grew by a
    # turn's record.
    sizes = [sum(map(len, fleet.store.partitions[("celerykeel.slots", s)].records)) for s in range(8)]
    first = await turn("first", "talk-1", "", fronts)
    if first.status != 200 or not first.complete:
        raise CannotRun(f"first turn: {first}")
    first_end = time.monotonic()
    grown = [sum(map(len, fleet.store.partitions[("celerykeel.slots", s)].records)) for s in range(8)]
    slot = max(range(8), key=lambda s: grown[s] - sizes[s])
    record(f"first turn answered whole, slot {slot}")

    # The day goes on with other programs. Their records stand in the logs of all
    # slots between those of the first and second turn.
    done = 0
    due = time.monotonic()
    waiting = set()
    while time.monotonic() < first_end + RETENTION_S - 8:
        waiting.add(asyncio.ensure_future(turn(f"other-{done}-", f"talk-o{done}", "", fronts)))
        done += 1
        due += 1 / TURNS_PER_S
        await asyncio.sleep(max(due - time.monotonic(), 0))
        waiting = {one for one in waiting if not one.done()}
    await asyncio.gather(*waiting)
    size = fleet.store.partitions[("celerykeel.slots", slot)].end
    record(f"{done} other turns; slot {slot} has {size} records; memory {fleet.memory_mb()} MB")
    second = await turn("second", "talk-1", first.ident, fronts)
    if second.status != 200 or not second.complete:
        raise CannotRun(f"second turn: {second}")
    second_end = time.monotonic()
    record(f"second turn answered whole, {second_end - first_end:.1f} s after the first")

    # The first turn's retention and the margin of the system have passed.
    await asyncio.sleep(first_end + RETENTION_S + 12 - time.monotonic())
    if trouble:
        for edge in fleet.edges.values():
            await fleet.end(edge, signal.SIGKILL)
        await asyncio.sleep(1.0)
        for edge in fleet.edges.values():
            await fleet.spawn(edge)
    await asyncio.sleep(5.0)
    record(f"memory {fleet.memory_mb()} MB")
    third = await turn("third", "talk-1", second.ident, fronts)
    age = time.monotonic() - second_end
    record(f"third turn, {age:.1f} s after the end of the second: {third}")
    if third.status in (404, 410):
        return age < RETENTION_S
    if third.status != 200 or not third.complete:
        raise CannotRun(f"third turn: {third}")
    sent = [server.bodies[third.ident] for server in fleet.servers if third.ident in server.bodies]
    whole = b"".join(body_of(one.ident) + fleet.servers[0].output(one.ident) for one in (first, second))
    record(f"history complete: {sent[0] == whole + body_of(third.ident)}")
    return sent[0] != whole + body_of(third.ident)


if __name__ == "__main__":
    main(FOLDER, case)
