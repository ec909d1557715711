"""A small deployment on loopback addresses: edge processes, store, servers.

The edges are started as the deploy file says, each with its own settings file,
made from the project's template.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from platform_standin import Closed, Server, Store, read_body, read_head

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def render(template, fields):
    """Fills the placeholders {{a.b}} and {{a.b|json}} of a template."""
    def value(match):
        found = fields
        for name in match[1].split("."):
            found = found[int(name) if isinstance(found, list) else name]
        return json.dumps(found) if match[2] else str(found)
    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", value, template)


class Record:
    """record.txt: what was sent, answered and run, with seconds."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


class Edge:
    """A machine of the deployment, with its process."""

    def __init__(self, fleet, number, store_address):
        self.fleet, self.number = fleet, number
        self.name = f"edge-{number}"
        self.ip = fleet.ip(11 + number)
        self.store_address = store_address
        self.callers_port = fleet.port
        self.ready_port = fleet.port + 1
        self.process = None
        self.ends = 0
        self.log = Path(fleet.folder) / f"{self.name}.log"
        self.settings = Path(fleet.folder) / f"{self.name}.settings"

    def write_settings(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["edge"]
        template = (ROOT / role["template"]).read_text()
        self.settings.write_text(render(template, {
            "node_name": self.name, "zone": "north", "ip": self.ip,
            "listen": {"front": f"{self.ip}:{self.callers_port}",
                       "ready_address": f"{self.ip}:{self.ready_port}"},
            "port_range": [self.fleet.peer_port, self.fleet.peer_port + 15],
            "platform": {"address": self.store_address, "parts": 8,
                         "retention_s": 300, "record_bytes": 262144,
                         "call_bytes": 2097152},
            "zones": {"north": "nordland"}, "bounds": {"grace_s": 8},
            "limits": {"link_mbps": float(self.fleet.link_mbps),
                       "memory_mb": self.fleet.memory_mb,
                       "max_fds": 8200}}))
        return role["run"].split()

    async def start(self):
        words = self.write_settings()
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CELERYKEEL_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / words[0]), *words[1:], cwd=ROOT, env=environment,
                stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.fleet.record.line(f"{self.name} started")

    async def kill(self):
        self.fleet.record.line(f"{self.name} killed")
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    def resident_mb(self):
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip,
                                                           self.ready_port)
            writer.write(b"GET /celerykeel/readyz HTTP/1.1\r\n"
                         b"Host: ready\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in first
        except (OSError, Closed, asyncio.TimeoutError):
            return False


class Ways:
    """Proxies on the machines' ways to the store and to each other.

    A machine can be cut off: bytes to and from it are held up, and its new
    connections get no answer. Machines announce their own addresses, so the
    proxies put theirs in the place of these, as a NAT does; the length stays.
    """

    def __init__(self, fleet, count):
        self.fleet, self.count = fleet, count
        port = fleet.peer_port
        self.addresses = [(f"{fleet.ip(11 + n)}:{port}".encode(),
                           f"{fleet.ip(41 + n)}:{port}".encode())
                          for n in range(count)]
        self.cut_off = set()  # numbers of edges
        self.healed = asyncio.Event()

    def store_ip(self, number):
        return self.fleet.ip(71 + number)

    async def listen(self):
        for n in range(self.count):
            await self.fleet.listen(self.peer_handler(n),
                                    self.fleet.ip(41 + n),
                                    self.fleet.peer_port)
            await self.fleet.listen(self.store_handler(n), self.store_ip(n),
                                    self.fleet.store_port)

    def cut(self, number):
        self.cut_off.add(number)
        self.healed.clear()

    def heal(self):
        self.cut_off.clear()
        self.healed.set()

    async def passes(self, ends):
        while self.cut_off & ends:
            await self.healed.wait()

    def translate(self, piece):
        for own, seen in self.addresses:
            piece = piece.replace(own, seen)
        return piece

    async def copy(self, read, writer, ends):
        try:
            while piece := await read():
                await self.passes(ends)
                writer.write(piece)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def connect(self, ends, address, writer, first, read):
        """Relays a connection whose first bytes and `read` are given."""
        await self.passes(ends)
        try:
            to_reader, to_writer = await asyncio.open_connection(*address)
        except OSError:
            writer.transport.abort()
            return
        to_writer.write(first)
        await asyncio.gather(
            self.copy(read, to_writer, ends),
            self.copy(lambda: to_reader.read(65536), writer, ends))

    def store_handler(self, number):
        async def handle(reader, writer):
            async def read():
                return self.translate(await reader.read(65536))
            address = (self.fleet.ip(2), self.fleet.store_port)
            await self.connect({number}, address, writer, b"", read)
        return handle

    def peer_handler(self, number):
        async def handle(reader, writer):
            async def read():
                size = await reader.readexactly(4)
                return size + self.translate(await reader.readexactly(
                    struct.unpack(">I", size)[0]))
            # The first frame names the machine that connects.
            try:
                first = await read()
            except (OSError, asyncio.IncompleteReadError):
                writer.close()
                return
            sender = re.search(rb"edge-(\d)", first)
            ends = {number} | ({int(sender[1])} if sender else set())
            address = (self.fleet.ip(11 + number), self.fleet.peer_port)
            await self.connect(ends, address, writer, first, read)
        return handle


class Fleet:
    tokens_per_event = 20
    event_gap_s = 0.03
    work_s = 0.01
    memory_mb = 130
    link_mbps = 1000

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="celerykeel-review-")
        self.record = Record(folder)
        self.subnet = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.port = free_port(self.ip(11))
        self.peer_port = free_port(self.ip(11))
        self.store = Store()
        self.edges, self.servers, self.tasks = [], [], []
        self.next_id = random.getrandbits(40) << 20
        self.run_by = {}  # request id -> seconds at which servers ran it

    def ip(self, last):
        return f"{self.subnet}.{last}"

    def on_run(self, server, identity, first, headers, body):
        self.run_by.setdefault(identity, []).append(self.record.now())
        self.record.line(f"{server.name} runs {identity} {first} tenant="
                         f"{headers.get('x-tenant')} body={len(body)}")

    def spawn(self, task):
        self.tasks.append(asyncio.ensure_future(task))

    async def listen(self, handle, ip, port):
        self.spawn((await asyncio.start_server(
            handle, ip, port, limit=1 << 22, backlog=512)).serve_forever())

    async def start_store(self):
        self.store_port = free_port(self.ip(2))
        await self.listen(self.store.handle, self.ip(2), self.store_port)

    async def start_servers(self, counts):
        last = 101
        for service, count in counts.items():
            for number in range(count):
                ip = self.ip(last)
                last += 1
                server = Server(self, f"i-{service}-{number}", service, ip,
                                free_port(ip), "north")
                await self.listen(server.handle, ip, server.port)
                self.servers.append(server)
                self.spawn(server.beats())

    async def start_edges(self, count, store_ip=None):
        """`store_ip` names the address of the store for each edge."""
        for number in range(count):
            ip = store_ip(number) if store_ip else self.ip(2)
            self.edges.append(Edge(self, number, f"{ip}:{self.store_port}"))
        await self.run_edges()

    async def run_edges(self):
        await asyncio.gather(*(edge.start() for edge in self.edges))
        until = time.monotonic() + 15
        while not all([await edge.is_ready() for edge in self.edges]):
            if time.monotonic() > until:
                raise RuntimeError("an edge did not become ready")
            await asyncio.sleep(0.2)

    def new_id(self):
        self.next_id += 1
        return f"{self.next_id:016x}"

    def slot_owners(self):
        """What the edges logged: the newest holder of each slot."""
        owners = {}
        for edge in self.edges:
            for line in edge.log.read_text(errors="replace").splitlines():
                if '"event":"slot taken"' in line:
                    entry = json.loads(line)
                    key = entry["slot"]
                    if entry["at"] >= owners.get(key, (0, None))[0]:
                        owners[key] = (entry["at"], edge)
        return {slot: edge for slot, (_, edge) in owners.items()}

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for edge in self.edges:
            if edge.process is not None and edge.process.returncode is None:
                edge.process.send_signal(signal.SIGKILL)
                await edge.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class Answer:
    def __init__(self, status=0, headers=None, body=b"", whole=False):
        self.status, self.headers = status, headers or {}
        self.body, self.whole = body, whole

    @property
    def events(self):
        return self.body.count(b"\n\n")


async def read_stream(reader, got):
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"x", 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return
        got.body += piece[:-2]


async def send(fleet, edge, method, path, headers, body=b"", timeout=10.0):
    """One requester attempt on a channel of its own."""
    identity = fleet.new_id()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
             f"X-Attempt-Id: {identity}", "Connection: close",
             f"X-Deadline-Ms: {int(timeout * 1000)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    got = Answer()
    got.identity, got.sent_at = identity, fleet.record.now()
    fleet.record.line(f"sent {identity} to {edge.name} {method} {path} "
                      f"{headers.get('X-Program-Id', '')} body={len(body)}")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(
            edge.ip, edge.callers_port, limit=1 << 22)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        first, got.headers = await read_head(reader)
        got.status = int(first.split(" ")[1])
        if "chunked" in got.headers.get("transfer-encoding", ""):
            await read_stream(reader, got)
        else:
            got.body = await read_body(reader, got.headers)
        got.whole = True

    try:
        await asyncio.wait_for(exchange(), timeout)
    except (OSError, Closed, ValueError, asyncio.IncompleteReadError,
            asyncio.TimeoutError) as error:
        got.end = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    fleet.record.line(f"answered {identity} status={got.status} "
                      f"events={got.events} whole={got.whole}")
    return got


def config(routes, tenants, tokens_per_event=20):
    return {
        "version": 3, "routes": routes,
        "services": [
            {"name": "llm", "health_path": "/healthz", "max_conns": 210,
             "protocol": "h1", "tls": False,
             "runtime": {"slots": 200, "kv_capacity": 657246,
                         "chunk_tokens": tokens_per_event,
                         "models": [{"name": "m"}]}},
            {"name": "app", "health_path": "/healthz", "max_conns": 210,
             "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants}


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/",
            "route_kind": kind, "timeout_ms": 4000, "target_latency_ms": 200,
            "priority": 0, "service": service, "max_attempts": 2,
            "retained": False, "retention_s": 60.0, "public": False,
            "sticky": kind == "streaming", "resumable": False,
            "gap_target_ms": 250, **more}


def main(folder, case):
    """Runs a case; its result is the exit status."""
    async def run():
        fleet = Fleet(folder)
        try:
            if not (ROOT / "target/bin/celerykeel-edge").exists():
                print("target/bin/celerykeel-edge is not built")
                return COULD_NOT_RUN
            try:
                return await asyncio.wait_for(case(fleet), 115)
            except (RuntimeError, asyncio.TimeoutError) as error:
                fleet.record.line(f"the case could not run: {error!r}")
                print(f"the case could not run: {error!r}")
                return COULD_NOT_RUN
        finally:
            await fleet.stop()
            sys.stdout.flush()
    status = asyncio.new_event_loop().run_until_complete(run())
    os._exit(status)  # the stand-ins' connections need no orderly end
