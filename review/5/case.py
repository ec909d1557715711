"""A request that crashes each server that begins to run it, where a crashed server
falls silent instead of refusing channels."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit"))
sys.dont_write_bytecode = True

from standins import CrashingServer, Fleet, main, send  # noqa: E402

HOST = "fjord.example"
CONTACT_S = 3.0  # contact_ms
DOWN_S = 4.5  # the site's largest for_s of srv_crash
MORE_RETRIES = 3  # "in more than three retries"
ROUTES = [{"name": "payout", "host": HOST, "path_prefix": "/payout/", "service": "ledger",
           "route_kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 150,
           "max_attempts": 1, "priority": 2}]
SERVICE = {"name": "ledger", "health_path": "/healthz", "max_conns": 110}
SOUND_PER_S = 40
DEADLY = b"a payout that crashes the server"


async def case(record, trouble, fleets):
    fleet = Fleet(record)
    fleets.append(fleet)
    fleet.deploy(ROUTES, [SERVICE], [{"name": "orchard", "api_keys": ["key-1"]}])
    crashes = []  # (time, request) of each run of the deadly request
    for i in range(6):
        server = CrashingServer(fleet.store, record, "ledger", f"i-{i}", f"zone-{i % 3}", slots=6)
        server.name, server.deadly, server.down_s = server.id, DEADLY, DOWN_S
        server.takes = 0.08  # a payout takes up to 200 ms
        server.dark = os.environ.get("TROUBLE") != "refused"  # "refused": crashes that refuse channels
        server.on_crash = lambda ident: crashes.append((time.monotonic(), ident))
        await server.start(fleet.ip())
        fleet.servers.append(server)
    for i in range(3):
        await fleet.start_edge(f"edge-{i}", f"zone-{i}")
    await fleet.until_ready()
    fronts = [edge.front for edge in fleet.edges.values()]
    lost = []

    async def pay(front, ident, body):
        headers = {"Host": HOST, "X-Attempt-Id": ident, "Authorization": "Bearer key-1", "X-Deadline-Ms": "1500"}
        answer = await send(front, "POST", "/payout/x", headers, body, timeout=1.7)
        record.quiet(f"{ident}: {answer}")
        if body != DEADLY and answer.status != 200 and any(s.runs[ident] for s in fleet.servers):
            lost.append(ident)

    # Sound payouts, and copies of one payout that come again at any machine.
    began = time.monotonic()
    tasks = []
    for n in range(SOUND_PER_S * 30):
        tasks.append(asyncio.ensure_future(pay(fronts[n % 3], f"sound-{n}", b"10 EUR for %d" % n)))
        if n % SOUND_PER_S == 0 and trouble:
            copy = n // SOUND_PER_S
            tasks.append(asyncio.ensure_future(pay(fronts[copy % 3], f"copy-{copy}", DEADLY)))
        await asyncio.sleep(max(began + (n + 1) / SOUND_PER_S - time.monotonic(), 0))
    await asyncio.gather(*tasks)
    later = 0
    if len(crashes) >= 3:
        bound = crashes[2][0] + CONTACT_S
        later = sum(at > bound for at, _ in crashes)
    record(f"{len(crashes)} crashes; {later} runs later than contact_ms after the third crash; "
           f"{len(lost)} sound payouts at servers got no answer of theirs")
    return later > MORE_RETRIES


if __name__ == "__main__":
    main(FOLDER, case)
