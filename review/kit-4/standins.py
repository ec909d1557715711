"""Stand-ins of the platform's store, of servers and of clients, and the start
and end of the project's own processes. They follow PROTOCOL.md and DEPLOY.md."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "celerykeel-edge")


class CannotRun(Exception):
    """The case can't be played here; exit code 2."""


# ---------------------------------------------------------------- HTTP


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


REASONS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


def answer_bytes(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve_http(host, port, handle):
    """Serves connections; `handle` returns False to close the connection."""

    async def connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                if not await handle(method, target, head[1], body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=16 << 20)


# ---------------------------------------------------------------- the store


class Partition:
    def __init__(self):
        self.records = []  # None: deleted
        self.first = 0  # oldest retained offset
        self.bytes = 0  # of the retained records
        self.epoch = {}
        self.next = {}
        self.recent = {}  # of a producer: the last five appends
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()


def keyed(key, value):
    name = key.encode()
    return bytes([len(name)]) + name + value


class Store:
    """The platform's store in the form of a log."""

    APPEND_S = 0.004
    PARTITION_BYTES = 200_000_000
    TOTAL_BYTES = 400_000_000

    def __init__(self):
        self.partitions = {}
        self.full = 0  # appends that were refused

    def part(self, topic, number=0):
        return self.partitions.setdefault((topic, number), Partition())

    def add(self, part, records):
        offset = len(part.records)
        part.records += records
        part.bytes += sum(len(record) for record in records)
        while part.bytes > self.PARTITION_BYTES:
            part.bytes -= len(part.records[part.first])
            part.records[part.first] = None
            part.first += 1
        part.changed.set()
        part.changed = asyncio.Event()
        return offset

    def put(self, topic, key, value):
        data = json.dumps(value).encode() if value is not None else b""
        self.add(self.part(topic), [keyed(key, data)])

    async def append(self, query, body):
        part = self.part(query["topic"], int(query.get("part", 0)))
        records = []
        while body:
            size = struct.unpack(">I", body[:4])[0]
            records.append(body[4:4 + size])
            body = body[4 + size:]
        async with part.lock:
            await asyncio.sleep(self.APPEND_S)
            producer = query.get("producer")
            if sum(one.bytes for one in self.partitions.values()) > self.TOTAL_BYTES:
                self.full += 1
                return 507, {}
            if producer is not None:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                known = part.epoch.get(producer, -1)
                if epoch < known:
                    return 409, {"why": "fenced", "epoch": known}
                if epoch > known:
                    part.epoch[producer] = epoch
                    part.next[producer] = sequence
                    part.recent[producer] = {}
                recent = part.recent[producer]
                if sequence in recent:
                    return 200, recent[sequence]
                if sequence != part.next[producer]:
                    return 409, {"why": "seq", "sequence": part.next[producer]}
                part.next[producer] = sequence + 1
            offset = self.add(part, records)
            done = {"offset": offset, "end": len(part.records)}
            if producer is not None:
                recent[sequence] = done
                for old in sorted(recent)[:-5]:
                    del recent[old]
            return 200, done

    async def read(self, query):
        part = self.part(query["topic"], int(query.get("part", 0)))
        begin = int(query["from"])
        if begin < part.first:
            return 410, json.dumps({"first": part.first}).encode()
        wait = min(int(query.get("wait_ms", 0)), 30000) / 1000
        until = time.monotonic() + wait
        while begin >= len(part.records) and time.monotonic() < until:
            changed = part.changed
            try:
                await asyncio.wait_for(changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        most = int(query.get("max_size", 1024)) * 1024
        out = bytearray(struct.pack(">QQ", len(part.records), part.first))
        for at in range(begin, len(part.records)):
            record = part.records[at]
            if len(out) + 4 + len(record) > most and len(out) > 16:
                break
            out += struct.pack(">I", len(record)) + record
        return 200, bytes(out)

    def newest(self, query):
        part = self.part(query["topic"], int(query.get("part", 0)))
        found = {}
        for offset, record in enumerate(part.records):
            if record is None:
                continue
            size = record[0]
            key, value = record[1:1 + size].decode("latin-1"), record[1 + size:]
            if value:
                found[key] = (value, offset)
            else:
                found.pop(key, None)
        after = query.get("after", "")
        keys = sorted(key for key in found if key > after)
        items = [{"key": key, "value": base64.b64encode(found[key][0]).decode(),
                  "offset": found[key][1]} for key in keys[:500]]
        return {"items": items, "truncated": len(keys) > 500, "end": len(part.records)}

    async def handle(self, method, target, headers, body, reader, writer):
        path, _, text = target.partition("?")
        query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
        if path == "/celerykeel/log-append":
            status, done = await self.append(query, body)
            out = json.dumps(done).encode()
        elif path == "/celerykeel/log-read":
            status, out = await self.read(query)
        elif path == "/celerykeel/log-newest":
            status, out = 200, json.dumps(self.newest(query)).encode()
        else:
            status, out = 404, b""
        writer.write(answer_bytes(status, out))
        await writer.drain()
        return True


# ---------------------------------------------------------------- servers


class Server:
    """A server: a model server on streaming paths, a plain one elsewhere."""

    def __init__(self, fleet, name, service, host, port, zone="z1", version="v1",
                 slots=24, chunk=20, event_s=0.005):
        self.fleet, self.name, self.service = fleet, name, service
        self.host, self.port, self.zone, self.version = host, port, zone, version
        self.slots, self.chunk, self.event_s = slots, chunk, event_s
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.listener = None
        self.beating = None
        self.connections = set()
        self.on_run = None  # called as a request begins; True: it crashes the server

    async def start(self):
        self.listener = await serve_http(self.host, self.port, self.handle)
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    def write_entry(self):
        self.sequence += 1
        self.fleet.store.put("keyed.servers", self.name, {
            "service": self.service, "address": f"{self.host}:{self.port}",
            "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": self.state, "cold_left_ms": 0, "sequence": self.sequence,
            "born": self.born})

    async def crash(self, back_after=None):
        """Ends as a killed process does: all connections end, the port is closed."""
        self.beating.cancel()
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()
        if back_after is not None:
            await asyncio.sleep(back_after)
            self.sequence = 0
            self.born = int(time.time() * 1000)
            await self.start()

    def seal(self):
        return f"{self.name}.{random.getrandbits(32):08x}"

    async def handle(self, method, target, headers, body, reader, writer):
        self.connections.add(writer)
        try:
            return await self.run(method, target, headers, body, reader, writer)
        finally:
            self.connections.discard(writer)

    async def run(self, method, target, headers, body, reader, writer):
        if target == "/healthz":
            writer.write(answer_bytes(200, b"", [("X-Instance-Id", self.name)]))
            return True
        attempt = headers.get("x-attempt-id", "")
        base = [("X-Attempt-Id", attempt)]
        if not attempt:
            writer.write(answer_bytes(400, b"", [("X-Not-Executed", "1")]))
            return True
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, b"", base + [("X-Instance-Id", self.name)]))
            return True
        self.fleet.note("run", server=self.name, id=attempt, method=method, path=target,
                        bytes=len(body), tenant=headers.get("x-tenant", ""))
        self.fleet.runs.append((time.monotonic(), self.name, attempt, target, body, headers))
        if self.on_run is not None and self.on_run(headers, body):
            return False
        base += [("X-Server-Seal", self.seal()), ("X-Weight-Versions", "1"),
                 ("Keep-Alive", "timeout=10")]
        usage = headers.get("x-token-usage")
        if usage is None:
            await asyncio.sleep(0.01)
            writer.write(answer_bytes(200, f"done {attempt}".encode(), base))
            await writer.drain()
            return True
        events = max(int(usage.split(",")[1]) // self.chunk, 1)
        first = int(headers.get("last-event-id", "0") or 0)
        head = ["HTTP/1.1 200 OK"] + [f"{n}: {v}" for n, v in base]
        head += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for event in range(first + 1, events + 1):
            await asyncio.sleep(self.event_s)
            text = f"id: {event}\ndata: {attempt}/{event}\n\n".encode()
            writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# ---------------------------------------------------------------- clients


class Answer:
    """What a client got: status 0 if the channel ended before a whole head."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.whole = False
        self.events = 0

    def __str__(self):
        return f"{self.status}{'' if self.whole else ' cut'}"


class Channel:
    """One channel of a client, which it may keep for further requests."""

    def __init__(self, address, source=None):
        self.address, self.source = address, source
        self.reader = self.writer = None

    async def open(self):
        local = (self.source, 0) if self.source else None
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address, limit=16 << 20, local_addr=local), 1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def send(self, method, path, headers, body=b"", timeout=4.0):
        answer = Answer()
        try:
            if self.writer is None:
                await self.open()
            lines = [f"{method} {path} HTTP/1.1", "Host: h.example"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await asyncio.wait_for(self.receive(answer), timeout)
        except (ConnectionError, OSError, asyncio.TimeoutError,
                asyncio.IncompleteReadError, ValueError):
            self.close()
        if answer.headers.get("connection", "").lower() == "close" or not answer.whole:
            self.close()
        return answer

    async def receive(self, answer):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]
        if answer.headers.get("transfer-encoding", "").lower() != "chunked":
            answer.body = await read_body(self.reader, answer.headers)
        else:
            while True:
                size = int((await self.reader.readline()).split(b";")[0] or b"x", 16)
                piece = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += piece[:-2]
                answer.events = answer.body.count(b"\n\n")
        answer.whole = True


# ---------------------------------------------------------------- the fleet


def free_ports(host, count):
    found = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((host, 0))
        found.append(probe)
    ports = [probe.getsockname()[1] for probe in found]
    for probe in found:
        probe.close()
    return ports


class Fleet:
    """The project's processes on loopback addresses, and the stand-ins."""

    def __init__(self, folder, machines=3, zones=("z1", "z1", "z1"), grace_s=8,
                 memory_mb=130):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/bin/celerykeel-edge is not built")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randint(60, 200)}.{random.randint(1, 250)}"
        self.machines = machines
        self.zones, self.grace_s, self.memory_mb = zones, grace_s, memory_mb
        self.store = Store()
        self.servers = []
        self.runs = []
        self.processes = {}
        self.listeners = []
        self.attempts = 0
        names = ["front", "ready", "metrics", "peer", "store"]
        self.ports = dict(zip(names, free_ports(self.ip(0), len(names))))
        self.note("begin", trouble=int(self.trouble))

    def ip(self, machine):
        return f"{self.net}.{machine + 1}"

    def front(self, machine):
        return self.ip(machine), self.ports["front"]

    def note(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        at = time.monotonic() - self.began
        self.record.write(f"{at:8.3f} {what} {text}\n")

    def new_id(self):
        self.attempts += 1
        return f"{self.attempts:04x}{random.getrandbits(48):012x}"

    async def start_store(self, config):
        self.store.put("keyed.op", "config", config)
        self.listeners.append(await serve_http(
            f"{self.net}.250", self.ports["store"], self.store.handle))

    async def add_server(self, name, service, **options):
        host = f"{self.net}.{100 + len(self.servers)}"
        server = Server(self, name, service, host, free_ports(host, 1)[0], **options)
        self.servers.append(server)
        await server.start()
        return server

    def settings(self, machine, first):
        ip = self.ip(machine)
        return {"instance": f"edge-{machine + 1}", "zone": self.zones[machine], "ip": ip,
                "callers_address": f"{ip}:{self.ports['front']}",
                "readiness_address": f"{ip}:{self.ports['ready']}",
                "metrics_address": f"{ip}:{self.ports['metrics']}",
                "peer_port": self.ports["peer"],
                "store_address": f"{self.net}.250:{self.ports['store']}",
                "store_partitions": 8, "store_retention_s": 300,
                "store_record_bytes": 262144, "store_call_bytes": 2097152,
                "zone_regions": {zone: "r1" for zone in sorted(set(self.zones))},
                "stop_s": self.grace_s, "link_mbps": 1000.0,
                "memory_mb": self.memory_mb, "max_fds": 8200}

    async def start(self, machine, first=False):
        path = os.path.join(self.temp, f"edge-{machine + 1}.json")
        with open(path, "w") as file:
            json.dump(self.settings(machine, first), file)
        log = open(os.path.join(self.temp, f"edge-{machine + 1}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "CELERYKEEL_NODE_FILE": path}
        self.processes[machine] = await asyncio.create_subprocess_exec(
            PROGRAM, stdout=log, stderr=log, env=environment, cwd=ROOT)
        log.close()
        self.note("start", machine=machine + 1)

    async def end(self, machine, how=signal.SIGKILL):
        self.note("signal", machine=machine + 1, name=signal.Signals(how).name)
        process = self.processes[machine]
        if process.returncode is None:
            process.send_signal(how)

    async def kill(self, machine):
        await self.end(machine)
        await self.processes[machine].wait()

    async def is_ready(self, machine):
        channel = Channel((self.ip(machine), self.ports["ready"]))
        answer = await channel.send("GET", "/celerykeel/readyz", {}, timeout=1.0)
        channel.close()
        return answer.status == 200

    async def metrics(self, machine):
        channel = Channel((self.ip(machine), self.ports["metrics"]))
        answer = await channel.send("GET", "/metrics", {}, timeout=2.0)
        channel.close()
        return answer.body.decode()

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            ready = [await self.is_ready(machine) for machine in range(self.machines)]
            if all(ready):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the processes don't get ready")

    def megabytes(self, machine):
        """What the process has in memory now."""
        try:
            with open(f"/proc/{self.processes[machine].pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def log(self, machine):
        with open(os.path.join(self.temp, f"edge-{machine + 1}.log")) as file:
            return file.read()

    def holder(self):
        """Returns the machine that holds the most slots by what the logs say: the one
        that has written to the store under a condition."""
        held = {}
        for machine in range(self.machines):
            for line in self.log(machine).splitlines():
                if '"event":"slot taken"' in line:
                    entry = json.loads(line)
                    slot = entry["slot"]
                    held[slot] = max(held.get(slot, (0, 0)), (entry["epoch"], machine))
        machines = [machine for _, machine in held.values()]
        if not machines:
            raise CannotRun("no slot is held")
        return max(set(machines), key=machines.count)

    async def close(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in self.servers:
            server.beating.cancel()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()


async def _play(folder, case):
    fleet = Fleet(folder, **getattr(case, "fleet_options", {}))
    try:
        broken = await asyncio.wait_for(case(fleet), 112)
        fleet.note("verdict", broken=int(broken))
        print("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0
    finally:
        await fleet.close()


def play(file, case):
    """Runs a case and ends with its exit code. The record of a script that is no case
    goes to the current folder."""
    folder = os.path.dirname(os.path.abspath(file))
    if os.path.basename(folder) == "more":
        folder = os.getcwd()
    try:
        sys.exit(asyncio.run(_play(folder, case)))
    except (CannotRun, asyncio.TimeoutError, OSError) as reason:
        print(f"the case couldn't run: {reason!r}")
        sys.exit(2)
