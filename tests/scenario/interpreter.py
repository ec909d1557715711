"""Interprets the scenario language: one command a line, names then options."""

import json
import pathlib
import re
import shlex
import time

from fleet.fleet import PROCESSES, Fleet, request
from fleet.processes import wait_until

from .calls import Call, chat_call, service_call

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("eidfjord", "kinsarvik", "utne", "jondal")
TICKET_OBJECTS = ("teams", "keys", "models", "endpoints", "routes", "profiles")


class Failure(Exception):
    """An expectation of the scenario did not hold."""


def parse(words):
    """Splits words into plain ones and name=value options."""
    plain, options = [], {}
    for word in words:
        name, equals, value = word.partition("=")
        if equals and re.fullmatch(r"[a-z_]+", name):
            options[name] = value
        else:
            plain.append(word)
    return plain, options


class Interpreter:
    """Runs one scenario on a fleet of its own."""

    def __init__(self, bin_dir, out, base, bless=False):
        self.fleet = Fleet(bin_dir, out, base)
        self.out, self.bless = pathlib.Path(out), bless
        self.line = 0
        self.variables = {}
        self.calls = {}
        self.keys = {}      # name -> (text, object for a ticket)
        self.ticket = {name: [] for name in TICKET_OBJECTS}
        self.next_ticket = 1
        self.transcript = []

    # Running.

    def run(self, path):
        for self.line, text in enumerate(path.read_text().splitlines(), 1):
            text = re.sub(r"\$(\w+)", self._variable, text)
            words = shlex.split(text, comments=True)
            if not words:
                continue
            command = getattr(self, "do_" + words[0].replace("-", "_"), None)
            if command is None:
                self.fail(f"unknown command {words[0]}")
            try:
                command(*parse(words[1:]))
            except TimeoutError as error:
                self.fail(str(error))

    def close(self):
        self.fleet.stop()
        (self.out / "transcript.txt").write_text("\n".join(self.transcript) + "\n")

    def fail(self, why):
        raise Failure(f"line {self.line}: {why}")

    def _variable(self, match):
        if match.group(1) not in self.variables:
            self.fail(f"unknown variable {match.group(1)}")
        return self.variables[match.group(1)]

    def instance(self, name):
        if name not in self.fleet.instances:
            self.fail(f"unknown instance {name}")
        return self.fleet.instances[name]

    # The fleet.

    def do_flags(self, plain, _options):
        """flags PROGRAM --flag=value..."""
        self.fleet.flags.setdefault(plain[0], []).extend(plain[1:])

    def do_platform(self, plain, _options):
        self.fleet.start_platform(plain)

    def do_engine(self, plain, options):
        name, flags = plain[0], plain[1:]
        model = options.get("model", "assistant")
        port = self.fleet.start_engine(name, model, flags)
        self.ticket["endpoints"].append(
            {"id": name, "kind": "MODEL_ENGINE", "host": "127.0.0.1",
             "port": port, "model": model, "availability_zone": ZONES[0],
             "slots": int(options.get("slots", 8)), "cache_tokens": 100000,
             "checks_fencing": "--checks-fencing" in flags})
        if all(m["id"] != model for m in self.ticket["models"]):
            self.ticket["models"].append({"id": model, "version": "1"})

    def do_service(self, plain, options):
        name, flags = plain[0], plain[1:]
        port = self.fleet.start_service(name, flags)
        self.ticket["endpoints"].append(
            {"id": name, "kind": "PLAIN_SERVICE", "host": "127.0.0.1",
             "port": port, "service": options.get("service", name),
             "availability_zone": ZONES[0], "slots": 64,
             "checks_fencing": "--checks-fencing" in flags})

    def do_team(self, plain, options):
        self.ticket["teams"].append(
            {"id": plain[0], "rate": float(options.get("rate", 100)),
             "burst": float(options.get("burst", 100)), "weight": 1})

    def do_route(self, plain, options):
        self.ticket["routes"].append(
            {"id": plain[0], "service": options["service"],
             "path_prefix": options["path"], "method": options.get("method", ""),
             "idempotent": "idempotent" in plain, "open_to_all": "open" in plain})

    def do_instances(self, plain, options):
        """instances a b c: starts them, one in each availability zone."""
        for name in plain:
            zone = ZONES[len(self.fleet.instances) % len(ZONES)]
            self.fleet.add_instance(name, options.get("zone", zone))
        if options.get("wait", "yes") == "yes":
            self.fleet.wait_ready(plain)

    def do_key(self, plain, options):
        """key NAME team=TEAM: makes a key; the next ticket carries it."""
        self.keys[plain[0]] = self.fleet.make_key(options["team"])
        self.ticket["keys"].append(self.keys[plain[0]][1])

    def do_ticket(self, plain, options):
        """ticket [NUMBER] [withdraw=KEY] [leaving=ENDPOINT]: submits what the
        lines before it described, and what its options change."""
        number = int(plain[0]) if plain and plain[0].isdigit() else self.next_ticket
        self.next_ticket = max(self.next_ticket, number + 1)
        ticket = {"number": number, "operator": options.get("operator", "test")}
        for kind, objects in self.ticket.items():
            ticket[kind] = objects
        for name, state in (("withdraw", True), ("give_back", False)):
            if name in options:
                made = dict(self.keys[options[name]][1], withdrawn=state)
                ticket["keys"] = ticket["keys"] + [made]
        if "leaving" in options:
            ticket["endpoints"] = ticket["endpoints"] + [
                dict(self.endpoints[options["leaving"]], state="LEAVING")]
        self.endpoints = getattr(self, "endpoints", {}) | {
            e["id"]: e for e in ticket["endpoints"]}
        self.ticket = {name: [] for name in TICKET_OBJECTS}
        status, out, errors = self.fleet.submit(ticket, "nowait" not in plain)
        self.note(f"ticket {number}: exit {status}")
        if status != int(options.get("exit", 0)):
            self.fail(f"ticket {number}: exit {status}: {out} {errors}")

    def do_ready(self, plain, options):
        self.fleet.wait_ready(plain or None, float(options.get("within", 20)))

    def do_kill(self, plain, _options):
        self.instance(plain[0]).kill(plain[1:] or PROCESSES)

    def do_start(self, plain, options):
        self.instance(plain[0]).start(plain[1:] or PROCESSES)
        if options.get("wait", "yes") == "yes":
            self.fleet.wait_ready([plain[0]])

    def do_freeze(self, plain, _options):
        self.instance(plain[0]).freeze(plain[1:] or PROCESSES)

    def do_thaw(self, plain, _options):
        self.instance(plain[0]).thaw(plain[1:] or PROCESSES)

    def do_leave(self, plain, _options):
        """leave INSTANCE: drains it; every process must exit with 0."""
        statuses = self.instance(plain[0]).terminate()
        if any(status != 0 for status in statuses.values()):
            self.fail(f"{plain[0]} left with {statuses}")

    def do_fault(self, plain, _options):
        """fault STANDIN PATH: injects a fault, as in `fault platform outage?on=1`."""
        self.fleet.control(plain[0], plain[1])

    def do_restart(self, plain, _options):
        self.fleet.restart_standin(plain[0])

    def do_kill_standin(self, plain, _options):
        self.fleet.standins[plain[0]][0].kill()

    def do_sleep(self, plain, _options):
        time.sleep(int(plain[0]) / 1000)

    def do_owner(self, plain, options):
        """owner VARIABLE program=ID key=KEY: the instance that owns it."""
        team = self.keys[options["key"]][1]["team"]
        status, out, errors = self.fleet.ctl(
            "explain", "program", options["program"], f"--team={team}", "--json")
        if status != 0:
            self.fail(f"explain: {errors}")
        owner = json.loads(out)["owner"]
        self.variables[plain[0]] = owner
        others = [n for n in self.fleet.instances if n != owner]
        for i, name in enumerate(others, 1):
            self.variables[f"other{i}"] = name

    # Calls.

    def do_call(self, plain, options):
        """call LABEL via=INSTANCE key=KEY [program=] [call=] [say=] [stream]."""
        key = self.keys[options["key"]][0] if "key" in options else None
        port = self.instance(options["via"]).ports["gate"]
        self.calls[plain[0]] = chat_call(port, key, options, "stream" in plain).start()

    def do_history(self, plain, options):
        """history via=INSTANCE key=KEY program=ID call=N: the next call sends
        the whole history that the callers were told of; the system refuses it
        if it holds another."""
        turns = {}
        for call in self.calls.values():
            if call.program == options["program"] and call.status == 200:
                turns[call.number] = [
                    {"role": "user", "content": call.say},
                    {"role": "assistant", "content": call.answer()}]
        told = [m for number in sorted(turns) for m in turns[number]]
        key = self.keys[options["key"]][0]
        label = f"history-{options['program']}-{options['call']}"
        self.calls[label] = chat_call(
            self.instance(options["via"]).ports["gate"], key,
            dict(options, history="whole", say="what do you know"), False,
            told).start()
        self.do_expect([label], {"status": "200"})

    def do_post(self, plain, options):
        """post LABEL via= [key=] service= path= [method=] [program=] [call=]."""
        key = self.keys[options["key"]][0] if "key" in options else None
        port = self.instance(options["via"]).ports["gate"]
        self.calls[plain[0]] = service_call(port, key, options).start()

    def do_get(self, plain, options):
        """get LABEL via= key= program=ID [call=N] [method=DELETE]."""
        key = self.keys[options["key"]][0] if "key" in options else None
        port = self.instance(options["via"]).ports["gate"]
        path = f"/v1/programs/{options['program']}"
        if "call" in options:
            path += f"/calls/{options['call']}"
        self.calls[plain[0]] = Call(
            port, options.get("method", "GET"), path, None, key, {}).start()

    def do_wait(self, plain, options):
        for label in plain:
            self.calls[label].wait(float(options.get("within", 25)), label)
            self.note(f"{label}: {self.calls[label].summary()}")

    def do_streaming(self, plain, options):
        """streaming LABEL [events=N]: waits until N events have come."""
        wanted = int(options.get("events", 1))
        wait_until(lambda: self.calls[plain[0]].events >= wanted,
                   float(options.get("within", 10)),
                   f"{wanted} events of {plain[0]}", 0.005)

    # Expectations.

    def do_expect(self, plain, options):
        """expect LABEL [status=A,B] [ran=] [type=] [contains=] [lacks=]."""
        call = self.calls[plain[0]]
        call.wait(float(options.pop("within", 25)), plain[0])
        for name, wanted in options.items():
            if not call.satisfies(name, wanted):
                self.fail(f"{plain[0]}: wanted {name}={wanted}, "
                          f"found {call.summary()} {call.text[:300]!r}")

    def do_witness(self, plain, options):
        """witness STANDIN PATH.TO.VALUE [of=sum|max] (is=|max=|min=)
        [within=S] [path=]."""
        last = [None]

        def holds():
            value = self.fleet.witness(plain[0], options.get("path", "/witness"))
            for part in plain[1].split("."):
                value = value.get(part, 0) if isinstance(value, dict) else value
            if isinstance(value, dict) and "of" in options:
                value = {"sum": sum, "max": lambda v: max(v, default=0)}[
                    options["of"]](value.values())
            elif isinstance(value, (dict, list)):
                value = len(value)
            last[0] = value
            return ((("is" not in options) or float(value) == float(options["is"]))
                    and (("max" not in options) or value <= float(options["max"]))
                    and (("min" not in options) or value >= float(options["min"])))
        try:
            wait_until(holds, float(options.get("within", 0.01)), plain[1])
        except TimeoutError:
            if not holds():
                self.fail(f"{plain[0]} {plain[1]} is {last[0]}, wanted {options}")

    def do_burst(self, plain, options):
        """burst LABEL count=N over=A,B key=KEY ...: N calls, one a call label."""
        names = options["over"].split(",")
        for i in range(int(options["count"])):
            label = f"{plain[0]}{i}"
            self.do_post([label, *plain[1:]], dict(options, via=names[i % len(names)]))

    def do_count(self, plain, options):
        """count PREFIX status=S (is=|min=|max=): how many calls ended so."""
        labels = [n for n in self.calls if re.fullmatch(plain[0] + r"\d+", n)]
        for label in labels:
            self.calls[label].wait(25, label)
        found = sum(self.calls[n].satisfies("status", options["status"])
                    for n in labels)
        for name, holds in (("is", found == int(options.get("is", found))),
                            ("min", found >= int(options.get("min", 0))),
                            ("max", found <= int(options.get("max", found)))):
            if not holds:
                self.fail(f"{found} of {len(labels)} calls ended with "
                          f"{options['status']}, wanted {name}={options[name]}")

    def do_ctl(self, plain, options):
        """ctl WORDS... [exit=N] [contains=TEXT]."""
        status, out, errors = self.fleet.ctl(*plain)
        self.note(f"ctl {' '.join(plain)}: exit {status}")
        if status != int(options.get("exit", 0)):
            self.fail(f"ctl exit {status}: {out} {errors}")
        if options.get("contains", "") not in out + errors:
            self.fail(f"ctl printed {out} {errors}")

    def do_same(self, plain, options):
        """same [within=S]: every instance has folded the same offset."""
        def offsets():
            status, out, _ = self.fleet.ctl("status", "--json")
            members = json.loads(out)["instances"] if status == 0 else []
            return {m.get("offset") for m in members}
        wait_until(lambda: len(offsets()) == 1, float(options.get("within", 5)),
                   "the same offset everywhere")

    # Golden files.

    def note(self, text):
        self.transcript.append(text)

    def do_golden(self, plain, _options):
        """golden NAME: compares the session so far with tests/golden/NAME."""
        path = ROOT / "tests" / "golden" / f"{plain[0]}.txt"
        text = "\n".join(self.transcript) + "\n"
        if self.bless:
            path.write_text(text)
        elif not path.exists() or path.read_text() != text:
            self.fail(f"the session differs from {path.name}:\n{text}")
