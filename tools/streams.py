"""Many open streams from one thread, for measuring what relaying costs."""

import json
import selectors
import socket
import time


CHARACTERS_A_TOKEN = 4  # of the stand-in engine, which echoes the last message


class Streams:
    """Streamed chats, each over a connection of its own, counted as they come."""

    def __init__(self, ports, key, model, count, max_tokens):
        self.selector = selectors.DefaultSelector()
        self.events = self.refused = 0
        body = {"model": model, "stream": True, "max_tokens": max_tokens}
        text = "x" * (max_tokens * CHARACTERS_A_TOKEN)
        for i in range(count):
            body["messages"] = [{"role": "user", "content": f"{i} " + text}]
            self._open(ports[i % len(ports)], key, json.dumps(body))

    def _open(self, port, key, text):
        connection = socket.create_connection(("127.0.0.1", port))
        connection.sendall(
            (f"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
             f"Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
             f"Connection: close\r\nContent-Length: {len(text)}\r\n\r\n{text}"
             ).encode())
        connection.setblocking(False)
        self.selector.register(connection, selectors.EVENT_READ)

    def read_for(self, seconds):
        """Reads what comes; returns the number of events in that time."""
        before, end = self.events, time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            for ready, _ in self.selector.select(left):
                data = ready.fileobj.recv(65536)
                self.events += data.count(b"data: ")
                self.refused += data.startswith(b"HTTP/1.1") and b" 200 " not in data[:16]
                if not data:
                    self._close(ready.fileobj)
        return self.events - before

    def open_now(self):
        return len(self.selector.get_map())

    def _close(self, connection):
        self.selector.unregister(connection)
        connection.close()

    def close(self):
        for ready in list(self.selector.get_map().values()):
            self._close(ready.fileobj)
        self.selector.close()
