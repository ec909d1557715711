#!/usr/bin/env python3
"""Measures the slopes that docs/CAPACITY.md is worked out from."""

import argparse
import datetime
import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))
sys.path.insert(0, str(ROOT / "tests"))

from fleet.fleet import Fleet, PROCESSES  # noqa: E402
from probe import cpu_seconds, resident_bytes, slope, socket_bytes  # noqa: E402
from scenario.calls import chat_call  # noqa: E402
from streams import Streams  # noqa: E402

PAGE = ROOT / "docs" / "capacity.json"  # the run that CAPACITY.md states
ZONES = ("eidfjord", "kinsarvik", "utne")
ENGINES = 3
LATENCY_SLOTS, LATENCY_DECODE_MS, LATENCY_TOKENS = 16, 10, 8
LATENCY_SECONDS, LOADS = 10, (0.1, 0.25, 0.5)
STREAM_SLOTS, STREAM_DECODE_MS = 128, 31
STREAM_COUNTS = (50, 150, 300)
STREAM_SECONDS = 6
PROGRAMS_A_STEP, PROGRAM_STEPS = 400, 3
PROGRAM_SIZES = (1_000, 16_000, 64_000)  # bytes of history
TEAM_COUNTS, TEAMS_A_TICKET = (1_000, 4_000, 10_000), 1_000
TICKETS = 20
IDLE_SECONDS, IDLE_SIZES = 8, (3, 6, 9)
JOINED_SECONDS, SETTLED_SECONDS = 4, 65  # connections unused for 60 s are closed
CALL_SECONDS = 30
KIB, MIB = 1024, 1024 * 1024


class Bench:
    """The fleet that is measured, its ticket numbers and its key."""

    def __init__(self, bin_dir, out, base):
        self.fleet = Fleet(bin_dir, out, base)
        self.number, self.key, self.team_key = 0, None, None
        self.programs = 0

    def start(self):
        self.fleet.start_platform()
        endpoints = []
        for model, slots, decode in (
                ("assistant", LATENCY_SLOTS, LATENCY_DECODE_MS),
                ("stream", STREAM_SLOTS, STREAM_DECODE_MS)):
            for i in range(ENGINES):
                name = f"{model}-{i}"
                port = self.fleet.start_engine(
                    name, model, [f"--slots={slots}", "--cache-tokens=1000000",
                                  "--prefill-tokens-per-s=1000000",
                                  f"--decode-ms-per-token={decode}"])
                endpoints.append({
                    "id": name, "kind": "MODEL_ENGINE", "host": "127.0.0.1",
                    "port": port, "availabilityZone": ZONES[i], "model": model,
                    "slots": slots, "cacheTokens": 1000000,
                    "checksFencing": True})
        self.add_instances(IDLE_SIZES[0])
        self.key, self.team_key = self.fleet.make_key("bench")
        self.submit(
            profiles=[{"id": "default", "programLatencyWeight": 1}],
            teams=[{"id": "bench", "rate": 5000, "burst": 5000,
                    "profile": "default"}],
            models=[{"id": m, "version": "1", "minEndpoints": 1}
                    for m in ("assistant", "stream")],
            endpoints=endpoints, keys=[self.team_key])

    def add_instances(self, wanted):
        while len(self.fleet.instances) < wanted:
            i = len(self.fleet.instances)
            self.fleet.add_instance(f"i{i}", ZONES[i % len(ZONES)])
        self.fleet.wait_ready()

    def submit(self, wait=True, **objects):
        """Submits the objects as the next ticket; returns the seconds taken."""
        self.number += 1
        started = time.monotonic()
        status, out, errors = self.fleet.submit(
            {"number": self.number, "operator": "bench", **objects}, wait)
        if status != 0:
            raise RuntimeError(f"ticket {self.number}: {out}{errors}")
        return time.monotonic() - started

    def pids(self, process):
        return [i.processes[process].pid for i in self.fleet.instances.values()]

    def cpu(self):
        return {p: sum(map(cpu_seconds, self.pids(p))) for p in PROCESSES}

    def resident(self):
        return {p: sum(map(resident_bytes, self.pids(p))) for p in PROCESSES}

    def gates(self):
        return [i.ports["gate"] for i in self.fleet.instances.values()]


def spent(before, after, units, scale):
    return {p: round((after[p] - before[p]) * scale / units, 3) for p in before}


def slopes(rows, scale):
    """For each process the slope of rows [(size, {process: value})]."""
    return {p: round(slope([(size, value[p]) for size, value in rows])[0] / scale, 3)
            for p in rows[0][1]}


def added_latency(bench):
    """Direct against through in one run, at parts of what the engines serve."""
    seconds_a_call = LATENCY_TOKENS * LATENCY_DECODE_MS / 1000
    capacity = ENGINES * LATENCY_SLOTS / seconds_a_call
    result = {"engines_serve_calls_per_second": capacity}
    engines = [bench.fleet.standins[f"assistant-{i}"][1] for i in range(ENGINES)]
    for part in LOADS:
        before = bench.cpu()
        done = subprocess.run(
            [bench.fleet.bin_dir / "celerykeel-load", "latency",
             "--gates=" + ",".join(f"127.0.0.1:{p}" for p in bench.gates()),
             "--engines=" + ",".join(f"127.0.0.1:{p}" for p in engines),
             f"--rate={capacity * part:.0f}", f"--seconds={LATENCY_SECONDS}",
             f"--max-tokens={LATENCY_TOKENS}", "--threads=128", "--json"],
            env={**os.environ, "CELERYKEEL_KEY": bench.key},
            capture_output=True, text=True, timeout=CALL_SECONDS + LATENCY_SECONDS,
            check=True)
        report = json.loads(done.stdout)
        report["cpu_ms_per_call"] = spent(
            before, bench.cpu(), report["through"]["whole_call"]["count"], 1e3)
        report["added_ms"] = {
            f"{what} {q}": round(report["through"][what][f"{q}_ms"] -
                                 report["direct"][what][f"{q}_ms"], 2)
            for what in ("first_token", "whole_call") for q in ("mean", "p50", "p99")}
        result[f"load {part}"] = report
    return result


def streams(bench):
    """Processor time per relayed event and memory per open stream."""
    rows, memory = [], [(0, bench.resident())]
    for count in STREAM_COUNTS:
        tokens = int((STREAM_SECONDS + 12) * 1000 / STREAM_DECODE_MS)
        load = Streams(bench.gates(), bench.key, "stream", count, tokens)
        try:
            load.read_for(2)
            before = bench.cpu()
            events = load.read_for(STREAM_SECONDS)
            after = bench.cpu()
            memory.append((count, bench.resident()))
            rows.append({"streams": count, "open": load.open_now(),
                         "refused": load.refused, "events": events,
                         "cpu_us_per_event": spent(before, after, events, 1e6)})
        finally:
            load.close()
        time.sleep(2)
    return {"runs": rows, "kib_per_stream": slopes(memory, KIB)}


def make_programs(bench, count, size):
    """Runs one call for each of `count` new programs with `size` bytes."""
    errors = []

    def work(names):
        for i, name in names:
            call = chat_call(bench.gates()[i % 3], bench.key, {
                "program": name, "call": "1", "say": "x" * size,
                "max_tokens": "1"}, False)
            call._run()  # pylint: disable=protected-access
            if call.status != 200:
                errors.append(call.summary())

    names = [(i, f"p{bench.programs + i}") for i in range(count)]
    bench.programs += count
    threads = [threading.Thread(target=work, args=(names[t::12],)) for t in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return errors


def programs(bench):
    """Memory per program, by the length of its history."""
    result = {}
    for size in PROGRAM_SIZES:
        made, rows, errors = 0, [(0, bench.resident())], []
        step = PROGRAMS_A_STEP if size < PROGRAM_SIZES[-1] else PROGRAMS_A_STEP // 4
        for _ in range(PROGRAM_STEPS):
            errors += make_programs(bench, step, size)
            made += step
            time.sleep(1)
            rows.append((made, bench.resident()))
        result[f"history {size} bytes"] = {
            "programs": made, "errors": len(errors), "first_error": errors[:1],
            "kib_per_program": slopes(rows, KIB)}
    return result


def tickets(bench):
    """Time from `ticket submit --wait` until every instance has it."""
    team = {"id": "bench", "rate": 5000, "burst": 5000, "profile": "default"}
    seconds = sorted(bench.submit(teams=[dict(team, burst=5000 + i)])
                     for i in range(TICKETS))
    return {"runs": TICKETS, "median_s": round(statistics.median(seconds), 3),
            "max_s": round(seconds[-1], 3)}


def ticket_with_one_frozen(bench):
    """The same while one instance is frozen: until each live one has it."""
    names = list(bench.fleet.instances)
    live = [bench.fleet.instances[n] for n in names[:-1]]
    bench.fleet.instances[names[-1]].freeze()
    started = time.monotonic()
    try:
        bench.submit(wait=False, teams=[{"id": "bench", "rate": 5000,
                                         "burst": 4000, "profile": "default"}])
        for instance in live:
            while bench.fleet.ctl("ticket", "show", bench.number,
                                  feed=instance.address("feed"))[0] != 0:
                time.sleep(0.02)
        have = time.monotonic() - started
    finally:
        bench.fleet.instances[names[-1]].thaw()
    bench.fleet.wait_ready(seconds=60)
    return {"live_have_it_s": round(have, 3)}


def teams(bench):
    """Memory per team with a key, and processor time of one small ticket."""
    rows, costs, made = [(0, bench.resident())], [], 0
    for count in TEAM_COUNTS:
        while made < count:
            ids = [f"t{made + i}" for i in range(TEAMS_A_TICKET)]
            bench.submit(
                teams=[{"id": i, "rate": 1, "burst": 8, "profile": "default"}
                       for i in ids],
                keys=[dict(bench.team_key, id=f"k-{i}", team=i) for i in ids])
            made += TEAMS_A_TICKET
        time.sleep(2)
        rows.append((made, bench.resident()))
        before = bench.cpu()
        seconds = [bench.submit(teams=[{"id": "t0", "rate": 1, "burst": 9 + i,
                                        "profile": "default"}]) for i in range(10)]
        costs.append({"teams": made, "median_s": round(statistics.median(seconds), 3),
                      "cpu_ms_per_ticket_and_process": spent(
                          before, bench.cpu(), 10 * len(bench.fleet.instances), 1e3)})
    per_instance = [(n, {p: v / len(bench.fleet.instances) for p, v in r.items()})
                    for n, r in rows]
    return {"kib_per_team": slopes(per_instance, KIB), "ticket": costs,
            "resident_mib": {str(n): {p: round(v / MIB, 1) for p, v in r.items()}
                             for n, r in per_instance}}


def idle(bench):
    """What an instance without callers costs, at several sizes of the fleet."""
    rows = []
    waits = [(size, JOINED_SECONDS) for size in IDLE_SIZES]
    for size, wait in [*waits, (IDLE_SIZES[-1], SETTLED_SECONDS)]:
        bench.add_instances(size)
        time.sleep(wait)
        pids = {pid: p for p in PROCESSES for pid in bench.pids(p)}
        cpu, sent = bench.cpu(), socket_bytes(pids)
        started = time.monotonic()
        time.sleep(IDLE_SECONDS)
        after = socket_bytes(pids)
        seconds = time.monotonic() - started
        rate = dict.fromkeys(PROCESSES, 0.0)
        for socket, count in after.items():
            rate[pids[socket[0]]] += (count - sent.get(socket, 0)) / seconds / size
        rows.append({
            "instances": size, "seconds_since_joins": wait,
            "cpu_percent_of_a_core": spent(cpu, bench.cpu(), seconds * size, 100),
            "sent_bytes_per_second": {p: round(v) for p, v in rate.items()},
            "sockets": {p: round(sum(pids[s[0]] == p for s in after) / size, 1)
                        for p in PROCESSES},
            "resident_mib": {p: round(v / size / MIB, 1)
                             for p, v in bench.resident().items()}})
    return {"sizes": rows}


LOADED = (added_latency, streams, programs, tickets, ticket_with_one_frozen, teams)
HIDDEN = (".mean_ms", "p95_ms", "count")


def flat(value, name=""):
    """{path: leaf} of a report, without the counts that only repeat settings."""
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return {name: value}
    leaves = {}
    for key, inner in items:
        leaves.update(flat(inner, f"{name}.{key}" if name else str(key)))
    return leaves


def show(result, name, page):
    """Prints a measurement's figures beside those of docs/CAPACITY.md."""
    before = flat(page.get(name, {}))
    print(f"  {'':<58}{'now':>12}{'page':>12}")
    for path, value in flat(result).items():
        if not any(part in path for part in HIDDEN):
            print(f"  {path:<58}{shown(value):>12}{shown(before.get(path, '-')):>12}")


def shown(value):
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def measure_all(bench, measurements, arguments, report, page):
    """Runs the measurements on one fleet; returns how many failed."""
    failed = 0
    try:
        bench.start()
        for measure in measurements:
            name = measure.__name__
            if arguments.only and name not in arguments.only.split(","):
                continue
            print(f"{name}: {measure.__doc__}", flush=True)
            try:
                report[name] = measure(bench)
                show(report[name], name, page)
            except (RuntimeError, TimeoutError, OSError,
                    subprocess.SubprocessError) as error:
                report[name] = {"failed": str(error)}
                print(f"  FAILED: {error}")
                failed += 1
    finally:
        bench.fleet.stop()
    return failed


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", default=str(ROOT / "build" / "bin"))
    parser.add_argument("--out", default=str(ROOT / "out"))
    parser.add_argument("--base", type=int, default=27000)
    parser.add_argument("--only", help="names of measurements, by commas")
    arguments = parser.parse_args()
    out = pathlib.Path(arguments.out)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    page = json.loads(PAGE.read_text()) if PAGE.exists() else {}
    report = {"started": datetime.datetime.now().isoformat(timespec="seconds"),
              "cores": os.cpu_count(), "load_average_before": os.getloadavg()}
    failed = 0
    for measurements in ((idle,), LOADED):
        bench = Bench(arguments.bin, out / "bench", arguments.base)
        failed += measure_all(bench, measurements, arguments, report, page)
    report["load_average_after"] = os.getloadavg()
    (out / "bench.json").write_text(json.dumps(report, indent=1) + "\n")
    print(f"load average before {report['load_average_before']}, "
          f"after {report['load_average_after']}; {out / 'bench.json'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
