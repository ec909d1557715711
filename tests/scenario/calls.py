"""Calls of a scenario: each runs on a thread and keeps what came back."""

import http.client
import json
import re
import threading
import time


class Call:
    """One HTTP request to a gate, with its answer as it comes."""

    def __init__(self, port, method, path, body, key, headers):
        self.port, self.method, self.path, self.body = port, method, path, body
        self.headers = dict(headers)
        if key:
            self.headers["Authorization"] = f"Bearer {key}"
        self.status, self.text, self.events = None, "", 0
        self.answer_headers, self.error = {}, None
        self.program, self.number, self.say = "", 0, ""
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self.thread.start()
        return self

    def _run(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=60)
        try:
            connection.request(self.method, self.path, self.body, self.headers)
            answer = connection.getresponse()
            self.status = answer.status
            self.answer_headers = {k.lower(): v for k, v in answer.getheaders()}
            while chunk := answer.read1(65536):
                self.text += chunk.decode(errors="replace")
                self.events = self.text.count("\n\n")
        except (OSError, http.client.HTTPException) as error:
            self.error = type(error).__name__
        finally:
            connection.close()

    def wait(self, seconds, label):
        end = time.monotonic() + seconds
        self.thread.join(max(0.0, end - time.monotonic()))
        if self.thread.is_alive():
            raise TimeoutError(f"{label} did not end within {seconds} s")

    def json(self):
        try:
            return json.loads(self.text)
        except ValueError:
            return {}

    def answer(self):
        """The text of the assistant's answer, whole or streamed."""
        if "text/event-stream" not in self.answer_headers.get("content-type", ""):
            choices = self.json().get("choices", [])
            return choices[0]["message"]["content"] if choices else self.text
        parts = []
        for data in re.findall(r"^data: (\{.*\})$", self.text, re.M):
            for choice in json.loads(data).get("choices", []):
                parts.append(choice.get("delta", {}).get("content") or "")
        return "".join(parts)

    def satisfies(self, name, wanted):
        if name == "status":
            return str(self.status) in wanted.split(",")
        if name == "ran":
            return self.json().get("ran") in wanted.split(",")
        if name == "type":
            return wanted in str(self.json().get("type"))
        if name == "messages":
            return self.json().get("messages") == int(wanted)
        if name == "contains":
            return wanted in self.text
        if name == "lacks":
            return wanted not in self.text
        if name == "answer_contains":
            return wanted in self.answer()
        if name == "whole":
            streamed = "data: [DONE]" in self.text
            return streamed == (wanted == "yes")
        if name == "header":
            return self.answer_headers.get(wanted.split(":")[0]) is not None
        if name == "error":
            return self.error == wanted
        raise ValueError(f"unknown expectation {name}")

    def summary(self):
        """Status and refusal type, the same on every run."""
        refusal = self.json()
        if isinstance(refusal, dict) and "ran" in refusal:
            return f"{self.status} {refusal.get('type')} ran={refusal['ran']}"
        return str(self.status if self.error is None else self.error)


PROGRAM_HEADERS = {"program": "Program-Id", "call": "Program-Call",
                   "parent": "Program-Parent", "budget": "Program-Budget",
                   "history": "Program-History", "idem": "Idempotency-Key"}


def program_headers(options):
    return {header: options[name] for name, header in PROGRAM_HEADERS.items()
            if name in options}


def chat_call(port, key, options, stream, history=()):
    say = options.get("say", "hello")
    body = {"model": options.get("model", "assistant"), "stream": stream,
            "max_tokens": int(options.get("max_tokens", 16)),
            "messages": [*history, {"role": "user", "content": say}]}
    headers = {"Content-Type": "application/json", **program_headers(options)}
    call = Call(port, "POST", "/v1/chat/completions", json.dumps(body), key, headers)
    call.program = options.get("program", "")
    call.number, call.say = int(options.get("call", 0)), say
    return call


def service_call(port, key, options):
    path = f"/services/{options['service']}{options['path']}"
    headers = {"Content-Type": "application/json", **program_headers(options)}
    return Call(port, options.get("method", "POST"), path,
                options.get("body", "{}"), key, headers)
