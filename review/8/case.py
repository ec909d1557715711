"""LOST: after all processes were killed, a machine with a slow link never ends
reading the logs of its slots, and conversations kept there reach no server."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

import fleet as kit  # noqa: E402

LINK_MBPS = 22  # the slowest on the sheet
TURNS, TURN_BYTES = 480, 100_000
TURNS_PER_S = 24
LINES = 40  # conversations that go on after the fault
DOWN_S = 1
RECOVERY_S = 15
OBSERVED_S = 30  # after the machines are back
LAST_S, TRIES = 4, 5  # the rule: so many tries, also in the last seconds
PAUSE_S = 0.5
KEY = {"Authorization": "Bearer key-of-the-orchard"}


class SlowLink:
    """Lets a machine receive at most LINK_MBPS from the store."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.free_at = 0.0

    async def take(self, count):
        now = time.monotonic()
        self.free_at = max(self.free_at, now) + count * 8e-6 / LINK_MBPS
        await asyncio.sleep(self.free_at - now)

    async def copy(self, reader, writer, is_slow):
        try:
            while piece := await reader.read(16384):
                if is_slow:
                    await self.take(len(piece))
                writer.write(piece)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def handle(self, reader, writer):
        store_reader, store_writer = await asyncio.open_connection(
            self.fleet.ip(2), self.fleet.store_port)
        await asyncio.gather(self.copy(reader, store_writer, False),
                             self.copy(store_reader, writer, True))


async def turn(fleet, program, at, body, previous=""):
    edge = fleet.edges[at % len(fleet.edges)]
    headers = {**KEY, "X-Program-Id": program, "X-Session-Id": program,
               "X-Program-Deadline-Ms": "90000", "X-Model": "m",
               "X-Token-Budget": "100000", "X-Token-Usage": "25000,80",
               "X-Prompt-Prefix": "5c1e07a2:1400,91bd:60"}
    if previous:
        headers["X-Previous-Turn"] = previous
    return await kit.send(fleet, edge, "POST", "/talk/4b", headers, body, 4)


async def begin_conversations(fleet):
    """@return the first turns that were answered whole, by program."""
    kept, tasks = {}, []

    async def begin(number):
        got = await turn(fleet, f"program-{number}", number, b"t" * TURN_BYTES)
        if got.whole and got.status == 200:
            kept[f"program-{number}"] = got.identity

    for number in range(TURNS):
        tasks.append(asyncio.ensure_future(begin(number)))
        await asyncio.sleep(1 / TURNS_PER_S)
    await asyncio.gather(*tasks)
    return kept


async def go_on(fleet, program, previous, seed, until, tries):
    """Sends the next turn again and again, at one machine after the other."""
    at = seed
    while fleet.record.now() < until:
        at += 1
        got = await turn(fleet, program, at, b"go on", previous)
        tries.append((got.sent_at, got.status, got.identity in fleet.run_by))
        await asyncio.sleep(PAUSE_S)


async def case(fleet):
    fleet.link_mbps = LINK_MBPS
    fleet.event_gap_s = 0.01
    await fleet.start_store()
    fleet.store.put("keyed.op", "config", kit.config(
        [kit.route("talk", "streaming", "llm", retained=True)],
        [{"name": "orchard", "api_keys": ["key-of-the-orchard"],
          "priority": 1, "rate_per_s": 302, "burst": 302}]))
    for number in range(3):
        await fleet.listen(SlowLink(fleet).handle, fleet.ip(71 + number),
                           fleet.store_port)
    await fleet.start_servers({"llm": 3})
    await fleet.start_edges(3, lambda number: fleet.ip(71 + number))
    await asyncio.sleep(2)
    kept = await begin_conversations(fleet)
    sizes = {part: sum(map(len, kept_records.records)) // 1000
             for (topic, part), kept_records in fleet.store.partitions.items()
             if topic == "celerykeel.slots"}
    fleet.record.line(f"{len(kept)} turns answered whole; KB of the logs, by "
                      f"partition: {sizes}")
    if kit.TROUBLE:
        for edge in fleet.edges:
            await edge.kill()
        await asyncio.sleep(DOWN_S)
        for edge in fleet.edges:
            await edge.start()
    back = fleet.record.now()
    lines = dict(list(kept.items())[-LINES:])  # the newest
    tries = {program: [] for program in lines}
    await asyncio.gather(*(
        go_on(fleet, program, previous, seed, back + OBSERVED_S,
              tries[program])
        for seed, (program, previous) in enumerate(lines.items())))
    recovered = {program: [one for one in of_line
                           if one[0] >= back + RECOVERY_S]
                 for program, of_line in tries.items()}
    for program, of_line in recovered.items():
        fleet.record.line(
            f"{program}: answers after recovery_s "
            f"{[status for _, status, _ in of_line]}, "
            f"{sum(ran for *_, ran in of_line)} reached a server")
    lost = [program for program, of_line in recovered.items()
            if len(of_line) >= TRIES and not any(ran for *_, ran in of_line)
            and of_line[-1][0] >= back + OBSERVED_S - LAST_S]
    text = (f"{len(lost)} of {len(lines)} conversations reached no server in "
            f"{TRIES} tries or more from {RECOVERY_S} to {OBSERVED_S} s after "
            f"the machines were back, the last {LAST_S} s included")
    fleet.record.line(text)
    print(text)
    return kit.BROKEN if lost else kit.HELD


kit.main(FOLDER, case)
