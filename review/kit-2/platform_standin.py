"""Stand-ins of the platform's store and of servers, over HTTP/1.1.

They do what PROTOCOL.md says, and no more: a log with topics, partitions,
producers and keyed topics; servers that answer plain requests and streams.
"""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qsl, urlsplit


STORED_BYTES = 400_000_000  # in total; appends beyond get 507


class Closed(Exception):
    """The peer closed its connection."""


async def read_head(reader):
    """Returns the first line and the headers of a message."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed() from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status, body=b"", headers=()):
    reason = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone",
              421: "Misdirected Request", 503: "Service Unavailable",
              507: "Insufficient Storage"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Answer')}",
             f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def as_json(status, value):
    return answer(status, json.dumps(value).encode(),
                  [("Content-Type", "application/json")])


class Partition:
    def __init__(self):
        self.records = []
        self.epochs = {}  # producer -> [epoch, next sequence, recent answers]
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def add(self, records):
        offset = len(self.records)
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store:
    """The platform's metadata store."""

    def __init__(self, answer_s=0.004):
        self.answer_s = answer_s
        self.stored = 0  # bytes; a run is shorter than their retention
        self.partitions = {}
        self.calls = 0

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        """Writes a record of the operator or of a server."""
        key = key.encode()
        self.partition(topic, 0).add(
            [bytes([len(key)]) + key + json.dumps(value).encode()])

    async def append(self, query, body):
        partition = self.partition(query["topic"], int(query["part"]))
        records, at = [], 0
        while at < len(body):
            size, = struct.unpack_from(">I", body, at)
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        async with partition.lock:
            await asyncio.sleep(self.answer_s)
            if self.stored + len(body) > STORED_BYTES:
                return answer(507)
            self.stored += len(body)
            if "producer" not in query:
                offset = partition.add(records)
                return as_json(200, {"offset": offset,
                                     "end": len(partition.records)})
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = partition.epochs.setdefault(query["producer"],
                                                [-1, 0, {}])
            if epoch < state[0]:
                return as_json(409, {"why": "fenced", "epoch": state[0]})
            if epoch > state[0]:
                state[:] = [epoch, sequence, {}]
            if sequence in state[2]:
                return state[2][sequence]
            if sequence != state[1]:
                return as_json(409, {"why": "seq", "sequence": state[1]})
            offset = partition.add(records)
            done = as_json(200, {"offset": offset,
                                 "end": len(partition.records)})
            state[1] += 1
            state[2][sequence] = done
            state[2].pop(sequence - 5, None)
            return done

    async def read(self, query):
        partition = self.partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        wait_s = int(query.get("wait_ms", "0")) / 1000
        until = time.monotonic() + wait_s
        while start >= len(partition.records) and time.monotonic() < until:
            changed = partition.changed
            try:
                await asyncio.wait_for(changed.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                break
        await asyncio.sleep(self.answer_s)
        most = int(query.get("max_size", "1024")) * 1024
        out = bytearray(struct.pack(">QQ", len(partition.records), 0))
        for record in partition.records[start:]:
            if len(out) + len(record) > most:
                break
            out += struct.pack(">I", len(record)) + record
        return answer(200, bytes(out),
                      [("Content-Type", "application/octet-stream")])

    async def newest(self, query):
        partition = self.partition(query["topic"], int(query["part"]))
        await asyncio.sleep(self.answer_s)
        newest = {}
        for offset, record in enumerate(partition.records):
            size = record[0]
            newest[record[1:1 + size]] = (record[1 + size:], offset)
        items = [{"key": key.decode(),
                  "value": base64.b64encode(value).decode(),
                  "offset": offset}
                 for key, (value, offset) in sorted(newest.items()) if value]
        after = query.get("after")
        if after is not None:
            items = [item for item in items if item["key"] > after]
        return as_json(200, {"items": items[:500],
                             "truncated": len(items) > 500,
                             "end": len(partition.records)})

    async def handle(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                self.calls += 1
                url = urlsplit(first.split(" ")[1])
                query = dict(parse_qsl(url.query, keep_blank_values=True))
                if url.path.endswith("/log-append"):
                    out = await self.append(query, body)
                elif url.path.endswith("/log-read"):
                    out = await self.read(query)
                elif url.path.endswith("/log-newest"):
                    out = await self.newest(query)
                else:
                    out = answer(404)
                writer.write(out)
                await writer.drain()
        except (Closed, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Server:
    """A server of a service. Streams carry `tokens` tokens an event."""

    def __init__(self, fleet, name, service, ip, port, zone, slots=200):
        self.fleet, self.name, self.service = fleet, name, service
        self.ip, self.port, self.zone, self.slots = ip, port, zone, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0

    def beat(self):
        self.sequence += 1
        self.fleet.store.put("keyed.servers", self.name, {
            "service": self.service, "address": f"{self.ip}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": "ready", "cold_left_ms": 0, "phase": "hybrid",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence, "born": self.born})

    async def beats(self):
        while True:
            self.beat()
            await asyncio.sleep(1.2)

    async def stream(self, writer, seal, headers):
        # As many events as the request may have tokens for.
        most = int(headers["x-token-usage"].split(",")[1])
        count = max(most // self.fleet.tokens_per_event, 1)
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"X-Attempt-Id: {headers['x-attempt-id']}\r\n"
                      f"X-Server-Seal: {seal}\r\nX-Weight-Versions: 1\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        first = int(headers.get("last-event-id", "0") or "0")
        for number in range(first + 1, count + 1):
            await asyncio.sleep(self.fleet.event_gap_s)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def handle(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                identity = headers.get("x-attempt-id", "")
                if headers.get("x-expect-instance") != self.name:
                    writer.write(answer(421, b"",
                                        [("X-Instance-Id", self.name)]))
                    await writer.drain()
                    continue
                self.fleet.on_run(self, identity, first, headers, body)
                seal = f"{self.name}.{identity}"
                if "x-token-usage" in headers:
                    await self.stream(writer, seal, headers)
                else:
                    await asyncio.sleep(self.fleet.work_s)
                    writer.write(answer(200, b"done " + identity.encode(),
                                        [("X-Attempt-Id", identity),
                                         ("X-Server-Seal", seal)]))
                    await writer.drain()
        except (Closed, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
