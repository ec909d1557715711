#!/usr/bin/env python3
"""The demonstration behind ./run demo and ./run up."""

import argparse
import json
import os
import pathlib
import signal
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))
sys.path.insert(0, str(ROOT / "tests"))

from fleet.fleet import Fleet  # noqa: E402
from scenario.calls import chat_call, service_call  # noqa: E402

ZONES = {"a": "eidfjord", "b": "kinsarvik", "c": "utne"}
CALL_SECONDS = 30
TOOL_PAUSE_SECONDS = 1.0


def base_ticket():
    """The objects of examples/tickets/demo.json."""
    return json.loads((ROOT / "examples" / "tickets" / "demo.json").read_text())


def start_fleet(bin_dir, out, base):
    """Starts stand-ins and three instances; returns (fleet, {team: key})."""
    fleet = Fleet(bin_dir, out, base)
    fleet.flags["steward"] = ["--lease-ms=2000", "--heartbeat-ms=250",
                              "--margin-ms=300"]
    fleet.start_platform()
    ticket = base_ticket()
    engines = [e for e in ticket["endpoints"] if e["kind"] == "MODEL_ENGINE"]
    services = [e for e in ticket["endpoints"] if e["kind"] == "PLAIN_SERVICE"]
    for endpoint in engines:
        endpoint["port"] = fleet.start_engine(
            endpoint["id"], endpoint["model"], ["--decode-ms-per-token=20"])
    for endpoint in services:
        endpoint["port"] = fleet.start_service(endpoint["id"])
    for name, zone in ZONES.items():
        fleet.add_instance(name, zone)
    fleet.wait_ready()
    keys = {}
    for team in ticket["teams"]:
        keys[team["id"]], made = fleet.make_key(team["id"])
        ticket.setdefault("keys", []).append(made)
    status, out_text, errors = fleet.submit(ticket)
    if status != 0:
        raise RuntimeError(f"the first ticket was refused: {out_text}{errors}")
    return fleet, keys, ticket


class Conversation:
    """Sends the calls of the demonstration and prints each as it ends."""

    def __init__(self, fleet, key):
        self.fleet, self.key = fleet, key
        self.latencies = []

    def finish(self, title, call, started):
        call.wait(CALL_SECONDS, title)
        seconds = time.monotonic() - started
        self.latencies.append((title, seconds))
        print(f"  {title:<34} {call.status}  {seconds * 1000:7.1f} ms  "
              f"{call.answer()[:60]!r}")
        return call

    def chat(self, via, title, stream=False, **options):
        started = time.monotonic()
        port = self.fleet.instances[via].ports["gate"]
        call = chat_call(port, self.key, options, stream).start()
        return self.finish(title, call, started)

    def post(self, via, title, **options):
        started = time.monotonic()
        port = self.fleet.instances[via].ports["gate"]
        call = service_call(port, self.key, options).start()
        return self.finish(title, call, started)


def owner_of(fleet, team, program):
    status, out, errors = fleet.ctl("explain", "program", program, f"--team={team}",
                                    "--json")
    if status != 0:
        raise RuntimeError(errors)
    return json.loads(out)["owner"]


def withdraw_during_stream(fleet, keys, ticket):
    """Withdraws the second team's key while its stream is open."""
    team = list(keys)[1]
    port = fleet.instances["c"].ports["gate"]
    call = chat_call(port, keys[team], {"say": "tell me a long story",
                                        "max_tokens": "400"}, True).start()
    while call.events < 3 and call.thread.is_alive():
        time.sleep(0.01)
    started = time.monotonic()
    made = next(k for k in ticket["keys"] if k["team"] == team)
    fleet.submit({"number": ticket["number"] + 1, "operator": "demo",
                  "comment": "withdraw a key during a stream",
                  "keys": [dict(made, withdrawn=True)]})
    call.wait(CALL_SECONDS, "the withdrawn stream")
    print(f"  stream of {team} closed {time.monotonic() - started:.2f} s after "
          f"the ticket, whole: {'data: [DONE]' in call.text}")


def demo(fleet, keys, ticket):
    team = list(keys)[0]
    conversation = Conversation(fleet, keys[team])
    program = {"program": "trip-7"}
    print("\nThe conversation (program trip-7):")
    conversation.chat("a", "1 chat, through a", call="1", **program,
                      say="When can I bring 400 kg of apples?",
                      budget="tokens=50000,calls=50,seconds=600")
    conversation.chat("b", "2 chat, through b, streamed", True, call="2",
                      **program, say="Is Thursday free?")
    time.sleep(TOOL_PAUSE_SECONDS)
    conversation.chat("c", "3 chat, after a tool pause", call="3", **program,
                      say="The tool says Thursday 10:00 is free.")
    conversation.chat("a", "  sub-agent trip-7/freight", call="1",
                      program="freight", parent="trip-7",
                      say="Compare two ways to bring 400 kg.")
    conversation.post("b", "4 booking, runs at most once", call="4", **program,
                      service="booking", path="/slots",
                      body='{"slot":"thursday-10"}')
    owner = owner_of(fleet, team, "trip-7")
    print(f"  -- killing instance {owner}, the owner of trip-7 --")
    fleet.instances[owner].kill()
    left = [name for name in fleet.instances if name != owner]
    conversation.chat(left[0], "5 chat, after the owner's death", call="5",
                      **program, say="Confirm my slot, please.")
    conversation.post(left[1], "4 booking, repeated by the caller", call="4",
                      **program, service="booking", path="/slots",
                      body='{"slot":"thursday-10"}')
    print("\nA key withdrawn during a stream:")
    fleet.instances[owner].start()
    fleet.wait_ready([owner])
    withdraw_during_stream(fleet, keys, ticket)
    print("\nLatencies:")
    for title, seconds in conversation.latencies:
        print(f"  {title:<34} {seconds * 1000:7.1f} ms")
    for title, arguments in (
            ("The audit trail:", ("audit",)),
            ("What happened to program trip-7:",
             ("explain", "program", "trip-7", f"--team={team}")),
            ("What is in force:", ("status",))):
        print(f"\n{title}")
        print(fleet.ctl(*arguments)[1])


def print_hints(fleet, keys):
    team, key = next(iter(keys.items()))
    gate = fleet.instances["a"].address("gate")
    feed = fleet.instances["a"].address("feed")
    ctl = os.path.relpath(fleet.bin_dir / "celerykeelctl", ROOT)
    print(f"""
The fleet runs; the key of {team} is {key}

  curl -s http://{gate}/v1/chat/completions -H 'Authorization: Bearer {key}' \\
    -H 'Program-Id: trip-1' -H 'Program-Call: 1' \\
    -d '{{"model":"assistant","messages":[{{"role":"user","content":"hello"}}]}}'
  curl -sN http://{gate}/v1/chat/completions -H 'Authorization: Bearer {key}' \\
    -H 'Program-Id: trip-1' -H 'Program-Call: 2' \\
    -d '{{"model":"assistant","stream":true,"messages":[{{"role":"user","content":"go on"}}]}}'
  curl -s http://{gate}/v1/programs/trip-1 -H 'Authorization: Bearer {key}'
  curl -s http://{gate}/services/booking/prices
  {ctl} --feed={feed} status
  {ctl} --feed={feed} explain program trip-1 --team={team}

Stop it with ./run down""")


def save_pids(path, fleet):
    processes = [p for i in fleet.instances.values() for p in i.processes.values()]
    processes += [p for p, _ in fleet.standins.values()]
    path.write_text("".join(f"{p.pid} {p.argv[0]}\n" for p in processes))


def stop_saved(path):
    """Ends the processes of the file, if each still is what it was."""
    if not path.exists():
        print("no fleet is up")
        return
    for line in path.read_text().splitlines():
        pid, program = line.split(" ", 1)
        try:
            running = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
            if running.split(b"\0")[0].decode() == program:
                os.kill(int(pid), signal.SIGKILL)
        except (FileNotFoundError, ProcessLookupError):
            pass
    path.unlink()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("command", choices=("demo", "up", "down"))
    parser.add_argument("--bin", default=str(ROOT / "build" / "bin"))
    parser.add_argument("--out", default=str(ROOT / "out"))
    parser.add_argument("--base", type=int, default=18000)
    arguments = parser.parse_args()
    out = pathlib.Path(arguments.out)
    pids = out / "fleet.pids"
    if arguments.command == "down":
        stop_saved(pids)
        return 0
    fleet, keys, ticket = None, None, None
    try:
        fleet, keys, ticket = start_fleet(
            arguments.bin, out / arguments.command, arguments.base)
        if arguments.command == "demo":
            demo(fleet, keys, ticket)
        else:
            print_hints(fleet, keys)
            save_pids(pids, fleet)
            return 0
    finally:
        if fleet and (arguments.command == "demo" or not pids.exists()):
            fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
