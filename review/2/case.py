"""An answer without a length, relayed by another instance, looks complete when
that instance is killed."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit"))
sys.dont_write_bytecode = True

from standins import CannotRun, Fleet, main, reset, send  # noqa: E402

HOST = "fjord.example"
ROUTES = [
    {"name": "look", "host": HOST, "path_prefix": "/look/", "service": "llm",
     "route_kind": "idempotent", "timeout_ms": 4000, "target_latency_ms": 500,
     "max_attempts": 2, "priority": 1},
    {"name": "talk", "host": HOST, "path_prefix": "/talk/", "service": "llm",
     "route_kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 200,
     "gap_target_ms": 250, "max_attempts": 1, "priority": 0, "sticky": True,
     "retained": True, "retention_s": 60},
]
SERVICE = {"name": "llm", "health_path": "/healthz", "max_conns": 210,
           "runtime": {"slots": 24, "kv_capacity": 657246, "chunk_tokens": 20}}


def look(ident):
    return {"Host": HOST, "X-Attempt-Id": ident, "Authorization": "Bearer key-1", "X-Deadline-Ms": "4000"}


def talk(ident, program, previous=""):
    given = {**look(ident), "X-Model": "m", "X-Token-Usage": "840,200", "X-Program-Id": program,
             "X-Session-Id": program, "X-Program-Deadline-Ms": "30000", "X-Token-Budget": "9000"}
    if previous:
        given["X-Previous-Turn"] = previous
    return given


async def case(record, trouble, fleets):
    cut = trouble or os.environ.get("TROUBLE") == "cut"
    trouble = trouble and os.environ.get("TROUBLE") != "cut"  # "cut": no kill
    fleet = Fleet(record)
    fleets.append(fleet)
    fleet.deploy(ROUTES, [SERVICE], [{"name": "orchard", "api_keys": ["key-1"]}])
    servers = [await fleet.add_server("llm", f"i-{i}", "zone-0") for i in range(3)]
    for server in servers:
        server.events, server.pause = 10, 0.12  # an event each 120 ms
        server.piece_pause = 0.12
    stranded = await fleet.start_edge("edge-a", "zone-0")
    relay = await fleet.start_edge("edge-b", "zone-0")
    await fleet.until_ready()

    # Usual traffic at the second instance, so that it has channels to all servers.
    async def usual(tag):
        await asyncio.gather(*(send(relay.front, "GET", "/look/u", look(f"u{tag}-{i}")) for i in range(18)))

    for tag in range(10):
        await usual(tag)
        await asyncio.sleep(0.05)
    on = [len(server.connections) for server in servers]
    record(f"channels from the second instance to the servers: {on}")
    if min(on) < 3:
        raise CannotRun("too few channels")

    # The first instance is partitioned from all servers: new channels are refused.
    # The channels of the second instance live on. From here on, the servers'
    # answers have no length and end with their channel.
    ports = [int(server.address.rsplit(":", 1)[1]) for server in servers]
    for server in servers:
        server.unframed = True
    if cut:
        for server in servers:
            server.listener.close()
            await server.listener.wait_closed()
            for writer, idents in list(server.connections.items()):
                if idents and not idents[-1].startswith("u"):
                    reset(writer)
        record("the first instance is cut off from all servers")

    plain = [asyncio.ensure_future(send(stranded.front, "GET", "/look/x", look(f"x-{i}"))) for i in range(3)]
    turns = [asyncio.ensure_future(send(stranded.front, "POST", "/talk/x", talk(f"t-{i}", f"prog-{i}"), b"in"))
             for i in range(2)]
    await asyncio.sleep(0.75)
    started = [i for i in ("x-0", "x-1", "x-2", "t-0", "t-1") if any(s.runs[i] for s in servers)]
    record(f"started at servers: {started}")
    if not started:
        raise CannotRun("no request went through the second instance")
    if trouble:
        await fleet.end(relay, signal.SIGKILL)
    broken = 0
    whole = {}
    for names, tasks in ((["x-0", "x-1", "x-2"], plain), (["t-0", "t-1"], turns)):
        for name, answer in zip(names, await asyncio.gather(*tasks)):
            given = [s.given[name] for s in servers if name in s.given]
            wrong = answer.complete and answer.status == 200 and answer.body not in given
            broken += wrong
            whole[name] = answer.complete and answer.status == 200
            record(f"{name}: {answer}; the server's body: {[len(g) for g in given]} bytes" + ("  WRONG" if wrong else ""))
    # The cut ends, and the platform has started the killed process again. The
    # conversation goes on from a turn that its caller has as answered whole.
    if trouble:
        await fleet.spawn(relay)
    for server, port in zip(servers, ports):
        server.unframed = False
        if cut:
            server.listener = await asyncio.start_server(server.serve, server.address.rsplit(":", 1)[0], port)
    await asyncio.sleep(6.0)
    for i in (0, 1):
        if whole[f"t-{i}"]:
            answer = await send(stranded.front, "POST", "/talk/x", talk(f"n-{i}", f"prog-{i}", f"t-{i}"), b"next")
            got = [s.bodies[f"n-{i}"] for s in servers if f"n-{i}" in s.bodies]
            due = b"in" + servers[0].output(f"t-{i}") + b"next"
            wrong = bool(got) and got[0] != due
            broken += wrong
            record(f"next turn n-{i}: {answer}; body at the server {got}" + ("  WRONG" if wrong else ""))
    return broken > 0


if __name__ == "__main__":
    main(FOLDER, case)
