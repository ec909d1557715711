"""Stand-ins for the review's scripts: the platform's store, servers, clients and
the platform's process control. They follow PROTOCOL.md and DEPLOY.md. Only the
Python standard library is used; all addresses are loopback addresses."""

import asyncio
import base64
import collections
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
BEGAN = time.monotonic()


def now():
    return time.monotonic() - BEGAN


class Record:
    """What was sent, answered and run: record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, text):
        line = f"{now():8.3f} {text}"
        print(line, file=self.file)
        print(line, flush=True)

    def quiet(self, text):
        print(f"{now():8.3f} {text}", file=self.file)


class CannotRun(Exception):
    """The case could not be set up (exit code 2)."""


# ---------------------------------------------------------------- HTTP


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = b""
    if int(headers.get("content-length", "0")):
        body = await reader.readexactly(int(headers["content-length"]))
    return method, target, headers, body


def response(status, headers, body):
    head = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers.items():
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


# ---------------------------------------------------------------- store


class Partition:
    def __init__(self):
        self.first = 0
        self.records = []
        self.epochs = {}  # by producer
        self.sequences = {}  # next, by producer
        self.recent = {}  # by producer: last five (sequence, answer)
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def add(self, records):
        offset = self.end
        self.records.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": offset, "end": self.end}


class Store:
    """The platform's store. Figures as in the settings example of DEPLOY.md."""

    append_ms = 4.0
    partition_mb_s = 20.0
    read_mb_s = 80.0
    max_records = 1024  # of one read
    record_bytes = 262144
    call_bytes = 2097152

    def __init__(self):
        self.partitions = collections.defaultdict(Partition)
        self.newest = collections.defaultdict(dict)  # topic -> key -> (offset, value)
        self.read_lock = asyncio.Lock()
        self.slow = 1.0  # times the usual answer time
        self.servers = []
        self.on_call = None  # (access name, target) of each call

    def put(self, topic, key, value):
        """Writes as the operator or a server would."""
        record = bytes([len(key)]) + key.encode() + value
        self.keyed(topic, record, self.partitions[(topic, 0)].end)
        return self.partitions[(topic, 0)].add([record])

    def keyed(self, topic, record, offset):
        size = record[0]
        key, value = record[1 : 1 + size].decode("latin-1"), record[1 + size :]
        if value:
            self.newest[topic][key] = (offset, value)
        else:
            self.newest[topic].pop(key, None)

    async def listen(self, ip, name):
        """Opens an address of the store for one machine."""
        access = type("Access", (), {})()
        access.name = name
        access.connections = set()
        access.silent = set()

        async def serve(reader, writer):
            access.connections.add(writer)
            try:
                while True:
                    method, target, _, body = await read_request(reader)
                    if writer in access.silent:
                        await asyncio.sleep(600)
                    answer = await self.handle(access, method, target, body)
                    if writer in access.silent:
                        await asyncio.sleep(600)
                    writer.write(answer)
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                access.connections.discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, ip, 0, limit=1 << 22)
        self.servers.append(server)
        access.address = "%s:%d" % server.sockets[0].getsockname()
        return access

    async def handle(self, access, method, target, body):
        path, _, text = target.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
        call = path.rsplit("/", 1)[-1]
        if self.on_call:
            self.on_call(access.name, call, query)
        partition = self.partitions[(query.get("topic"), int(query.get("part", "0")))]
        json_type = {"Content-Type": "application/json", "Keep-Alive": "timeout=10"}
        if call == "log-append":
            status, answer = await self.append(partition, query, body)
            return response(status, json_type, json.dumps(answer).encode())
        if call == "log-newest":
            await asyncio.sleep(0.004 * self.slow)
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(self.newest[query["topic"]].items())
                if key > query.get("after", "")
            ]
            answer = {"items": items[:500], "truncated": len(items) > 500, "end": partition.end}
            return response(200, json_type, json.dumps(answer).encode())
        if call == "log-read":
            return await self.read(partition, query)
        return response(404, json_type, b"{}")

    async def append(self, partition, query, body):
        records, at = [], 0
        while at < len(body):
            size = struct.unpack(">I", body[at : at + 4])[0]
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        if any(len(record) > self.record_bytes for record in records):
            return 413, {"error": "record"}
        topic = query["topic"]
        async with partition.lock:
            await asyncio.sleep(
                self.append_ms / 1000 * self.slow + len(body) / self.partition_mb_s / 1e6
            )
            producer = query.get("producer")
            if producer is not None:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                known = partition.epochs.get(producer, -1)
                if epoch < known:
                    return 409, {"why": "fenced", "epoch": known}
                if epoch > known:
                    partition.epochs[producer] = epoch
                    partition.sequences[producer] = sequence
                    partition.recent[producer] = collections.deque(maxlen=5)
                for done, answer in partition.recent[producer]:
                    if done == sequence:
                        return 200, answer
                if sequence != partition.sequences[producer]:
                    return 409, {"why": "seq", "sequence": partition.sequences[producer]}
            if "at" in query and int(query["at"]) != partition.end:
                return 412, {"end": partition.end}
            if topic.startswith("keyed."):
                for i, record in enumerate(records):
                    self.keyed(topic, record, partition.end + i)
            answer = partition.add(records)
            if producer is not None:
                partition.sequences[producer] = sequence + 1
                partition.recent[producer].append((sequence, answer))
            return 200, answer

    async def read(self, partition, query):
        start = int(query["from"])
        if start < partition.first:
            await asyncio.sleep(0.004 * self.slow)
            return response(410, {}, json.dumps({"first": partition.first}).encode())
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while partition.end <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(partition.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        most = int(query.get("max_size", self.max_records))
        records = partition.records[max(start - partition.first, 0) :][:most]
        body = struct.pack(">QQ", partition.end, partition.first)
        body += b"".join(struct.pack(">I", len(record)) + record for record in records)
        await asyncio.sleep(0.004 * self.slow)
        async with self.read_lock:
            await asyncio.sleep(len(body) / self.read_mb_s / 1e6)
        return response(200, {"Keep-Alive": "timeout=10"}, body)


# ---------------------------------------------------------------- servers


class Server:
    """A server of the platform: runs requests, streams events, and keeps its
    entry in the store."""

    def __init__(self, store, record, service, ident, zone, version="v1", slots=24):
        self.store, self.record = store, record
        self.service, self.id, self.zone, self.version = service, ident, zone, version
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.events, self.pause = 6, 0.01  # of a stream
        self.unframed = False  # answers end with their channel
        self.piece_pause = 0.0  # between pieces of a plain answer
        self.work = 0.0  # seconds before a plain answer
        self.running = 0
        self.bodies = {}  # of requests that it ran, by id
        self.runs = collections.Counter()
        self.arrived = collections.Counter()  # requests, run or not
        self.on_arrival = None
        self.given = {}  # whole answers, by id
        self.connections = {}  # writer -> ids of requests on it
        self.task = None

    async def start(self, ip, port=0):
        self.listener = await asyncio.start_server(self.serve, ip, port, limit=1 << 22)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()
        self.write_entry()
        self.task = asyncio.ensure_future(self.beat())

    def write_entry(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.write_entry()

    async def serve(self, reader, writer):
        self.connections[writer] = []
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                ident = headers.get("x-attempt-id", "")
                self.connections[writer].append(ident)
                if not await self.handle(writer, target, headers, body, ident):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    def statements(self):
        return {"Server-Leaving": "1"} if self.state == "draining" else {}

    async def handle(self, writer, target, headers, body, ident):
        base = {"X-Attempt-Id": ident, "Keep-Alive": "timeout=10", **self.statements()}
        self.arrived[ident] += 1
        if self.on_arrival:
            self.on_arrival(ident)
        expected = headers.get("x-expect-instance", self.id)
        if expected != self.id:
            writer.write(response(421, {**base, "X-Instance-Id": self.id}, b""))
            return True
        if target.startswith("/healthz"):
            writer.write(response(200, {**base, "X-Instance-Id": self.id}, b"ok"))
            return True
        if self.running >= self.slots:
            writer.write(response(503, {**base, "X-Not-Executed": "1"}, b""))
            return True
        self.runs[ident] += 1
        self.bodies[ident] = body
        self.record.quiet(f"server {self.id} runs {ident} {len(body)} bytes")
        self.running += 1
        try:
            if "x-token-usage" in headers:
                return await self.stream(writer, headers, ident, base)
            return await self.plain(writer, ident, base)
        finally:
            self.running -= 1

    async def plain(self, writer, ident, base):
        pieces = [f"{ident}-{i:03d};".encode() * 8 for i in range(10)]
        whole = b"".join(pieces)
        await asyncio.sleep(self.work)
        self.given[ident] = whole
        head = {**base, "X-Server-Seal": f"seal.{self.id}.{len(whole)}"}
        if not self.unframed:
            writer.write(response(200, head, whole))
            await writer.drain()
            return True
        text = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in head.items() if n != "Keep-Alive")
        writer.write((text + "Connection: close\r\n\r\n").encode())
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(self.piece_pause)
        return False

    async def stream(self, writer, headers, ident, base):
        first = int(headers.get("last-event-id", "0") or 0)
        events = [f"id: {i}\ndata: {ident}.{i}\n\n".encode() for i in range(first + 1, self.events + 1)]
        self.given[ident] = b"".join(events)
        head = {**base, "X-Server-Seal": f"seal.{self.id}", "Content-Type": "text/event-stream"}
        if self.unframed:
            head.pop("Keep-Alive")
            head["Connection"] = "close"
        else:
            head["Transfer-Encoding"] = "chunked"
        text = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in head.items())
        writer.write((text + "\r\n").encode())
        for event in events:
            await asyncio.sleep(self.pause)
            writer.write(event if self.unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        if self.unframed:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def output(self, ident):
        """Data of the events of a whole run, a line each."""
        return "".join(f"{ident}.{i}\n" for i in range(1, self.events + 1)).encode()


class CrashingServer(Server):
    """Crashes, and is back later as a new incarnation at the same address. A dark
    crash is silent: channels get no answer, old or new. A request with the body
    `deadly` crashes the server that begins to run it."""

    deadly = None
    down_s = 4.5
    dark = True
    on_crash = None
    starts = 0
    takes = 0.0  # seconds before a plain answer
    name = None

    async def start(self, ip, port=0):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((ip, port))
        self.sock.listen(16)
        self.sock.setblocking(False)
        self.place = self.sock.getsockname()
        self.name = self.name or self.id
        self.address = "%s:%d" % self.place
        self.up = True
        self.write_entry()
        self.task = asyncio.ensure_future(self.beat())
        self.accepting = asyncio.ensure_future(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            channel, _ = await loop.sock_accept(self.sock)
            reader, writer = await asyncio.open_connection(sock=channel)
            asyncio.ensure_future(self.serve(reader, writer))

    async def handle(self, writer, target, headers, body, ident):
        if self.up and self.deadly is not None and body == self.deadly and headers.get("x-expect-instance") == self.id:
            self.runs[ident] += 1
            self.record(f"server {self.id} begins to run {ident} and crashes")
            self.on_crash(ident)
            asyncio.ensure_future(self.crash())
            self.up = False
        if not self.up:
            await asyncio.sleep(600)  # silent
        return await super().handle(writer, target, headers, body, ident)

    async def plain(self, writer, ident, base):
        start = self.starts
        await asyncio.sleep(self.takes)
        if not self.up or self.starts != start:
            await asyncio.sleep(600)  # what ran here is lost with the server
        return await super().plain(writer, ident, base)

    async def crash(self):
        self.up = False
        self.task.cancel()
        self.accepting.cancel()
        if self.dark:
            # The queue of new channels is full: further ones get no answer.
            fillers = [socket.socket() for _ in range(24)]
            for one in fillers:
                one.setblocking(False)
                one.connect_ex(self.place)
        else:
            fillers = []
            self.sock.close()
            for writer in list(self.connections):
                reset(writer)
        silent = list(self.connections)
        await asyncio.sleep(3.6)  # three liveness report intervals
        self.store.put("keyed.servers", self.id, b"")
        await asyncio.sleep(self.down_s - 3.6)
        for one in (*fillers, self.sock):
            one.close()
        for writer in silent:
            reset(writer)
        self.starts += 1
        self.id = f"{self.name}-{self.starts}"
        self.born, self.sequence, self.running = int(time.time() * 1000), 0, 0
        await self.start(*self.place)


# ---------------------------------------------------------------- clients


class Answer:
    status = 0
    body = b""
    complete = False
    why = ""
    headers = {}

    def __str__(self):
        text = f"status {self.status}, {len(self.body)} bytes, "
        return text + ("complete" if self.complete else f"not complete ({self.why})")


async def send(address, method, target, headers, body=b"", timeout=6.0, on_bytes=None):
    """Sends one request on a new channel and reads the answer."""
    answer = Answer()
    writer = None
    try:
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port), limit=1 << 22), 1.0)
        text = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers.items())
        if method == "POST":
            text += f"Content-Length: {len(body)}\r\n"
        writer.write((text + "\r\n").encode() + body)
        await asyncio.wait_for(read_answer(reader, answer, on_bytes), timeout)
    except asyncio.TimeoutError:
        answer.why = "time limit"
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        answer.why = answer.why or type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader, answer, on_bytes):
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                answer.complete = True
                return
            answer.body += piece[:-2]
            if on_bytes:
                on_bytes(answer)
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.complete = True
    else:
        answer.why = "no length"


# ---------------------------------------------------------------- instances


class Fleet:
    """Instances of the system as separate processes, and their platform."""

    def __init__(self, record, parts=8, retention_s=300):
        self.record = record
        self.store = Store()
        self.parts, self.retention_s = parts, retention_s
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.run = self.command()
        self.edges = {}
        self.servers = []
        self.hosts = 10
        self.version = 0

    @staticmethod
    def command():
        for line in open(os.path.join(ROOT, "deploy", "system.toml")):
            if line.startswith("run ="):
                return line.split('"')[1].split()
        raise CannotRun("deploy/system.toml names no program")

    def ip(self):
        self.hosts += 1
        return f"{self.subnet}.{self.hosts}"

    @staticmethod
    def free_port(ip):
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return probe.getsockname()[1]

    def deploy(self, routes, services, tenants):
        """Writes a manifest, as the operator would. The store's answer is the ack."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "tenants": tenants,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1048576,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def add_server(self, service, ident, zone, **more):
        server = Server(self.store, self.record, service, ident, zone, **more)
        await server.start(self.ip())
        self.servers.append(server)
        return server

    async def start_edge(self, name, zone):
        ip = self.ip()
        access = await self.store.listen(self.ip(), name)
        settings = {
            "instance": name,
            "zone": zone,
            "ip": ip,
            "callers_address": f"{ip}:{self.free_port(ip)}",
            "readiness_address": f"{ip}:{self.free_port(ip)}",
            "metrics_address": f"{ip}:9464",
            "peer_port": self.free_port(ip),
            "store_address": access.address,
            "store_partitions": self.parts,
            "store_retention_s": self.retention_s,
            "store_record_bytes": Store.record_bytes,
            "store_call_bytes": Store.call_bytes,
            "stop_s": 8,
        }
        edge = type("Edge", (), {})()
        edge.name, edge.front, edge.ready = name, settings["callers_address"], settings["readiness_address"]
        edge.access, edge.settings = access, os.path.join(self.folder, name + ".json")
        json.dump(settings, open(edge.settings, "w"))
        edge.log = os.path.join(self.folder, name + ".log")
        self.edges[name] = edge
        await self.spawn(edge)
        return edge

    async def spawn(self, edge):
        program = os.path.join(ROOT, self.run[0])
        if not os.path.exists(program):
            raise CannotRun(f"{self.run[0]} is not built")
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        edge.process = await asyncio.create_subprocess_exec(
            program, *self.run[1:], cwd=ROOT,
            env={**keep, "CELERYKEEL_NODE_FILE": edge.settings},
            stdin=asyncio.subprocess.DEVNULL, stdout=open(edge.log, "ab"), stderr=asyncio.subprocess.STDOUT,
        )
        self.record(f"{edge.name} started")

    async def end(self, edge, how):
        self.record(f"{edge.name} gets {how.name}")
        edge.process.send_signal(how)
        if how == signal.SIGKILL:
            await edge.process.wait()

    def log_lines(self, edge):
        lines = []
        for line in open(edge.log, errors="replace"):
            try:
                lines.append(json.loads(line))
            except ValueError:
                pass
        return lines

    def memory_mb(self):
        """Resident memory of each instance."""
        sizes = []
        for edge in self.edges.values():
            if edge.process.returncode is None:
                pages = int(open(f"/proc/{edge.process.pid}/statm").read().split()[1])
                sizes.append(pages * os.sysconf("SC_PAGESIZE") // 1_000_000)
        return sizes

    def holders(self):
        """Which instance took each slot last, from the claims in the store's log."""
        held = {}
        for edge in self.edges.values():
            for line in self.log_lines(edge):
                if line.get("event") == "slot taken":
                    if line["epoch"] > held.get(line["slot"], ("", 0))[1]:
                        held[line["slot"]] = (edge.name, line["epoch"])
        return {slot: name for slot, (name, _) in held.items()}

    async def until_ready(self, limit=15.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            ready = 0
            for edge in self.edges.values():
                answer = await send(edge.ready, "GET", "/celerykeel/readyz", {"Host": "x"}, timeout=1.0)
                ready += answer.status == 200
            if ready == len(self.edges) and len(self.holders()) == self.parts:
                self.record(f"{ready} instances ready")
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the instances did not become ready")

    async def stop(self):
        for edge in self.edges.values():
            if edge.process.returncode is None:
                edge.process.kill()
                await edge.process.wait()
        for server in self.servers:
            server.task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the
    case could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def body():
        fleet = []
        try:
            return await asyncio.wait_for(case(record, trouble, fleet), 115)
        finally:
            for one in fleet:
                await one.stop()

    try:
        broken = asyncio.run(body())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    record("BROKEN" if broken else "held")
    sys.exit(1 if broken else 0)
