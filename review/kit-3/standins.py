"""Stand-ins for the cases of this review: the platform's store, servers and
requesters, as the users' pages describe them, and the fleet under test.

Everything listens on loopback addresses only. Python's standard library is all
that is needed.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
EDGE = os.path.join(ROOT, "target", "bin", "celerykeel-edge")


# --- A manifest -------------------------------------------------------------

RETAINED_ROUTE = {
    "name": "r-talk", "host": "talk.example", "path_prefix": "/talk/",
    "route_kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 200,
    "gap_target_ms": 250, "priority": 0, "service": "llm", "max_attempts": 2,
    "retained": True, "retention_s": 60.0, "public": False, "sticky": True,
    "resumable": False,
}
RESUMABLE_ROUTE = {
    "name": "r-plan", "host": "plan.example", "path_prefix": "/plan/",
    "route_kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 200,
    "gap_target_ms": 250, "priority": 1, "service": "llm", "max_attempts": 2,
    "retained": False, "retention_s": 60.0, "public": False, "sticky": True,
    "resumable": True,
}


def tenant(name):
    return {"name": name, "api_keys": ["key-" + name], "priority": 1,
            "rate_per_s": 300, "burst": 300}


def model_service(chunk_tokens=20):
    return {"name": "llm", "health_path": "/healthz", "max_conns": 210,
            "protocol": "h1", "tls": False,
            "runtime": {"slots": 24, "kv_capacity": 657246,
                        "chunk_tokens": chunk_tokens, "models": [{"name": "m"}]}}


class Record:
    """The case's record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def __call__(self, text):
        print(self.write(text), flush=True)

    def write(self, text):
        """Writes a line that is not printed."""
        line = "%8.3f %s" % (time.monotonic() - self.began, text)
        self.file.write(line + "\n")
        self.file.flush()
        return line


# --- HTTP -------------------------------------------------------------------


async def read_head(reader):
    """Returns the start line and the headers, or nothing at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


# --- The platform's store ---------------------------------------------------


class Partition:
    def __init__(self):
        self.first = 0
        self.records = []  # (bytes, time of the append)
        self.producers = {}  # name -> [epoch, next sequence, last answers]
        self.lock = asyncio.Lock()
        self.arrived = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)


class Store:
    """The platform's log."""

    RECORD_BYTES = 262144
    CALL_BYTES = 2097152
    TOTAL_BYTES = 400 * 1000 * 1000
    APPEND_S = 0.004
    WRITES_PER_S = 800  # of all machines together
    READS_PER_S = 2000

    def __init__(self, retention_s=300):
        self.partitions = {}
        self.retention_s = retention_s
        self.total = 0
        self.appended = 0
        self.calls = {"writes": [0, 0], "reads": [0, 0]}  # second, calls in it
        self.refused = 0  # calls that got 429

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Partition())

    def expire(self, partition):
        if self.retention_s is None:
            return
        oldest = time.monotonic() - self.retention_s
        while partition.records and partition.records[0][1] < oldest:
            self.total -= len(partition.records[0][0])
            partition.records.pop(0)
            partition.first += 1

    def put(self, topic, part, record):
        partition = self.partition(topic, part)
        partition.records.append((record, time.monotonic()))
        self.total += len(record)
        partition.arrived.set()
        partition.arrived = asyncio.Event()

    def put_keyed(self, topic, key, value):
        key = key.encode()
        self.put("keyed." + topic, 0, bytes([len(key)]) + key + value)

    async def append(self, query, body):
        partition = self.partition(query["topic"], int(query.get("part", 0)))
        records = []
        at = 0
        while at < len(body):
            size = struct.unpack(">I", body[at : at + 4])[0]
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        if len(body) > self.CALL_BYTES or any(len(r) > self.RECORD_BYTES for r in records):
            return 413, {}
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        async with partition.lock:
            await asyncio.sleep(self.APPEND_S)
            if self.total + len(body) > self.TOTAL_BYTES:
                return 507, {}
            stamp = None
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                stamp = partition.producers.setdefault(query["producer"], [-1, 0, {}])
                if epoch < stamp[0]:
                    return 409, {"why": "fenced", "epoch": stamp[0]}
                if epoch > stamp[0]:
                    stamp[:] = [epoch, sequence, {}]
                elif sequence in stamp[2]:
                    return 200, stamp[2][sequence]
                elif sequence != stamp[1]:
                    return 409, {"why": "seq", "sequence": stamp[1]}
            answer = {"offset": partition.end, "end": partition.end + len(records)}
            for record in records:
                self.put(query["topic"], int(query.get("part", 0)), record)
            self.appended += len(body)
            if stamp is not None:
                stamp[1] = sequence + 1
                stamp[2][sequence] = answer
                for old in sorted(stamp[2])[:-5]:
                    del stamp[2][old]
            return 200, answer

    async def read(self, query):
        partition = self.partition(query["topic"], int(query.get("part", 0)))
        since = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        await asyncio.sleep(self.APPEND_S)
        while since >= partition.end and time.monotonic() < until:
            try:
                await asyncio.wait_for(partition.arrived.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if not query["topic"].startswith("keyed."):
            self.expire(partition)
        if since < partition.first:
            return 410, {"first": partition.first}
        body = struct.pack(">QQ", partition.end, partition.first)
        limit = int(query.get("max_size", 1024)) * 1024
        for record, _ in partition.records[since - partition.first :]:
            if len(body) > 16 and len(body) + len(record) > limit:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body

    async def newest(self, query):
        await asyncio.sleep(self.APPEND_S)
        partition = self.partition(query["topic"], int(query.get("part", 0)))
        newest = {}
        for number, (record, _) in enumerate(partition.records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (record[1 + record[0] :], partition.first + number)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if value and key > query.get("after", "")
        ]
        return 200, {"items": items[:500], "truncated": len(items) > 500, "end": partition.end}

    def is_over_rate(self, kind, most):
        """Counts a call. True if it is beyond the calls of this second."""
        second = int(time.monotonic())
        if self.calls[kind][0] != second:
            self.calls[kind] = [second, 0]
        self.calls[kind][1] += 1
        return self.calls[kind][1] > most

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                url = urllib.parse.urlsplit(head[0].split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                call = url.path.rsplit("/", 1)[1]
                writes = call == "log-append"
                if self.is_over_rate("writes" if writes else "reads",
                                     self.WRITES_PER_S if writes else self.READS_PER_S):
                    self.refused += 1
                    status, answer = 429, {}
                elif writes:
                    status, answer = await self.append(query, body)
                elif call == "log-read":
                    status, answer = await self.read(query)
                elif call == "log-newest":
                    status, answer = await self.newest(query)
                else:
                    status, answer = 404, {}
                kind = "application/octet-stream"
                if not isinstance(answer, bytes):
                    answer, kind = json.dumps(answer).encode(), "application/json"
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
                    % (status, kind.encode(), len(answer))
                    + answer
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


# --- Servers ----------------------------------------------------------------


class Server:
    """A server of a service. A request says in its query how many events its
    answer has (`events`), the pause between them (`gap_ms`) and the length of
    an event's data (`size`); without `events`, the answer is a plain one."""

    def __init__(self, name, service, address, zone, slots=24):
        self.id, self.service, self.address, self.zone = name, service, address, zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # (attempt id, path, body length)
        self.on_run = None
        self.whole = set()  # attempts whose answers were written whole

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": "%s:%d" % self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": "ready", "cold_left_ms": 0, "sequence": self.sequence,
            "born": self.born,
        }).encode()

    async def beat(self, store):
        while True:
            store.put_keyed("servers", self.id, self.entry())
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                await self.answer(head[0].split(" ")[1], head[1], body, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, target, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(
                b"HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n" % attempt.encode())
            await writer.drain()
            return
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
        self.runs.append((attempt, target, len(body)))
        if self.on_run:
            self.on_run(attempt, target, headers, body)
        common = b"X-Attempt-Id: %s\r\nX-Server-Seal: s.%s\r\n" % (
            attempt.encode(), self.id.encode())
        if "events" not in query:
            await asyncio.sleep(float(query.get("work_ms", 5)) / 1000)
            text = ("done " + attempt).encode()
            writer.write(b"HTTP/1.1 200 OK\r\n" + common
                         + b"Content-Length: %d\r\n\r\n" % len(text) + text)
            await writer.drain()
            self.whole.add(attempt)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     b"Transfer-Encoding: chunked\r\n" + common + b"\r\n")
        gap = float(query.get("gap_ms", 5)) / 1000
        data = b"x" * int(query.get("size", 40))
        for number in range(int(headers.get("last-event-id", 0)) + 1,
                            int(query["events"]) + 1):
            await asyncio.sleep(gap)
            event = b"id: %d\ndata: %s\n\n" % (number, data)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.whole.add(attempt)


# --- Requesters -------------------------------------------------------------


class Answer:
    def __init__(self):
        self.status = 0  # 0: the channel ended before the head
        self.headers = {}
        self.body = b""
        self.events = 0
        self.complete = False

    def __str__(self):
        return "status=%d events=%d bytes=%d %s" % (
            self.status, self.events, len(self.body),
            "complete" if self.complete else "CUT")


class Channel:
    """A kept channel of a requester."""

    def __init__(self, address):
        self.address = address
        self.writer = None

    async def send(self, method, path, headers, body=b"", timeout=10):
        answer = Answer()
        try:
            await asyncio.wait_for(self.exchange(method, path, headers, body, answer), timeout)
        except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError,
                OSError, ValueError):
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def exchange(self, method, path, headers, body, answer):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        for name, value in headers.items():
            head += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        self.writer.write(head.encode() + b"\r\n" + body)
        await self.writer.drain()
        got = await read_head(self.reader)
        if got is None:
            raise ConnectionError("closed")
        answer.status, answer.headers = int(got[0].split(" ")[1]), got[1]
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                size = int((await self.reader.readline()).split(b";")[0], 16)
                answer.body += await self.reader.readexactly(size)
                await self.reader.readline()
                answer.events = answer.body.count(b"\n\n")
                if size == 0:
                    break
        else:
            answer.body = await self.reader.readexactly(
                int(answer.headers.get("content-length", "0")))
        answer.complete = True
        if answer.headers.get("connection", "").lower() == "close":
            self.close()


# --- The fleet under test ---------------------------------------------------


given_ports = set()


def free_port(ip):
    """A port that is free, and that no earlier call has given."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            port = probe.getsockname()[1]
        if port not in given_ports and port != 9464:
            given_ports.add(port)
            return port


class Edge:
    """One process of the deploy file, `target/bin/celerykeel-edge`."""

    def __init__(self, fleet, number):
        self.fleet, self.name = fleet, "edge-%d" % number
        self.ip = fleet.address(10 + number)
        self.zone = "z%d" % (number % 3)
        self.front, self.ready = free_port(self.ip), free_port(self.ip)
        self.peer = free_port(self.ip)
        self.process = None
        self.starts = 0
        self.settings = os.path.join(fleet.folder, self.name + ".json")
        self.log = os.path.join(fleet.folder, self.name + ".log")

    def start(self):
        self.starts += 1
        with open(self.settings, "w") as file:
            # platform/settings.template, filled as the platform does it.
            json.dump({
                "instance": self.name, "zone": self.zone, "ip": self.ip,
                "callers_address": "%s:%d" % (self.ip, self.front),
                "readiness_address": "%s:%d" % (self.ip, self.ready),
                "metrics_address": "%s:9464" % self.ip, "peer_port": self.peer,
                "store_address": "%s:%d" % self.fleet.store_address,
                "store_partitions": self.fleet.parts,
                "store_retention_s": self.fleet.store.retention_s or 300,
                "store_record_bytes": Store.RECORD_BYTES,
                "store_call_bytes": Store.CALL_BYTES,
                "zone_regions": {"z0": "r", "z1": "r", "z2": "r"}, "stop_s": 8,
                "link_mbps": 1000, "memory_mb": self.fleet.memory_mb,
                "max_fds": 8200,
            }, file)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["CELERYKEEL_NODE_FILE"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [EDGE], cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, number):
        os.kill(self.process.pid, number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def running(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        """Resident memory, in MB as the deployment's `memory_mb`."""
        with open("/proc/%d/status" % self.process.pid) as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0

    def lines(self, event):
        """The log lines of an event."""
        found = []
        with open(self.log, errors="replace") as file:
            for line in file:
                if '"event":"%s"' % event in line:
                    try:
                        found.append(json.loads(line))
                    except ValueError:
                        pass
        return found

    async def is_ready(self):
        channel = Channel((self.ip, self.ready))
        answer = await channel.send("GET", "/celerykeel/readyz", {"Host": "x"}, timeout=1)
        channel.close()
        return answer.status == 200


class Fleet:
    def __init__(self, edges=3, parts=8, memory_mb=130, retention_s=300):
        self.folder = tempfile.mkdtemp(prefix="celerykeel-review-")
        self.net = "127.%d.%d." % (random.randint(16, 250), random.randint(1, 250))
        self.parts, self.memory_mb = parts, memory_mb
        self.store = Store(retention_s)
        self.servers, self.listeners, self.tasks = [], [], []
        ip = self.address(1)
        self.store_address = (ip, free_port(ip))
        self.edges = [Edge(self, number) for number in range(edges)]

    def address(self, last):
        return self.net + str(last)

    def add_server(self, service, zone="z0", slots=24):
        ip = self.address(100 + len(self.servers))
        server = Server("i-%d" % len(self.servers), service, (ip, free_port(ip)), zone, slots)
        self.servers.append(server)
        return server

    def configure(self, routes, tenants, services, version=7):
        self.store.put_keyed("op", "config", json.dumps({
            "version": version, "routes": routes, "services": services,
            "tenants": tenants,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        }).encode())

    async def start(self):
        self.listeners.append(await asyncio.start_server(
            self.store.serve, *self.store_address, limit=1 << 26))
        for server in self.servers:
            self.listeners.append(await asyncio.start_server(
                server.serve, *server.address, limit=1 << 26))
            self.tasks.append(asyncio.ensure_future(server.beat(self.store)))
        for edge in self.edges:
            edge.start()
        await self.ready()

    async def ready(self, edges=None, timeout=15):
        until = time.monotonic() + timeout
        for edge in edges or self.edges:
            while not (edge.running() and await edge.is_ready()):
                if time.monotonic() > until:
                    raise RuntimeError(edge.name + " is not ready")
                await asyncio.sleep(0.1)

    def stop(self):
        for edge in self.edges:
            if edge.running():
                edge.signal(signal.SIGCONT)
                edge.kill()
        for task in self.tasks:
            task.cancel()
        for listener in self.listeners:
            listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def holders(self):
        """By slot, the process that took it last, by the processes' logs."""
        newest = {}
        for edge in self.edges:
            for line in edge.lines("slot taken"):
                if line["epoch"] > newest.get(line["slot"], (-1, None))[0]:
                    newest[line["slot"]] = (line["epoch"], edge)
        return {slot: edge for slot, (_, edge) in newest.items()}

    def holder(self, slot):
        return self.holders().get(slot)


def run(case, folder):
    """Runs a case and ends this process, with 1 if the rule was broken, 0 if it
    held and 2 if the case could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble=%d" % trouble)
    fleets = []
    code = 2

    async def play():
        nonlocal code
        try:
            broken = await asyncio.wait_for(case(record, trouble, fleets), 112)
            record("RULE BROKEN" if broken else "rule held")
            code = 1 if broken else 0
        except Exception as error:
            record("could not run: %r" % error)
        finally:
            for fleet in fleets:
                fleet.stop()
            # Open channels of the stand-ins would only be reported as cancelled.
            os._exit(code)

    asyncio.run(play())
