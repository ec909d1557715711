"""A fleet on one machine: stand-ins and instances, on ports from one base."""

import http.client
import json
import pathlib
import subprocess
import time

from .processes import Process, wait_until

ENGINE_PORTS = 101    # base + 101, 102, ...
SERVICE_PORTS = 151
INSTANCE_PORTS = 200  # base + 200 + 10 * i
READY_SECONDS = 20
PROCESSES = ("steward", "scheduler", "gate")


def request(port, method, path, body=None, headers=None, timeout=60):
    """One HTTP request to loopback; returns (status, headers, text)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    finally:
        connection.close()


class Instance:
    """The three processes of one instance and their addresses."""

    def __init__(self, fleet, index, name, zone):
        self.fleet, self.index, self.name, self.zone = fleet, index, name, zone
        base = fleet.base + INSTANCE_PORTS + 10 * index
        self.ports = {"gate": base, "gate_operator": base + 1,
                      "scheduler": base + 2, "scheduler_operator": base + 3,
                      "feed": base + 4, "peers": base + 5,
                      "steward_operator": base + 6, "rate": base + 7}
        self.processes = {}

    def address(self, port):
        return f"127.0.0.1:{self.ports[port]}"

    def command(self, process):
        bin_dir, a = self.fleet.bin_dir, self.address
        extra = self.fleet.flags.get(process, [])
        if process == "steward":
            return [bin_dir / "celerykeel-steward", f"--instance={self.name}",
                    f"--availability-zone={self.zone}",
                    f"--log=127.0.0.1:{self.fleet.base}", f"--feed={a('feed')}",
                    f"--peers={a('peers')}", f"--operator={a('steward_operator')}",
                    f"--gate-address={a('gate')}",
                    f"--scheduler-address={a('scheduler')}",
                    f"--rate-address={a('rate')}", *extra]
        if process == "scheduler":
            return [bin_dir / "celerykeel-scheduler", f"--listen={a('scheduler')}",
                    f"--feed={a('feed')}",
                    f"--operator={a('scheduler_operator')}", *extra]
        return [bin_dir / "celerykeel-gate", f"--listen={a('gate')}",
                f"--rate={a('rate')}", f"--feed={a('feed')}",
                f"--operator={a('gate_operator')}", *extra]

    def start(self, processes=PROCESSES):
        for process in processes:
            self.processes[process] = Process(
                f"{self.name}-{process}", self.command(process),
                self.fleet.log_dir).start()

    def kill(self, processes=PROCESSES):
        for process in processes:
            if process in self.processes:
                self.processes[process].kill()

    def freeze(self, processes=PROCESSES):
        for process in processes:
            self.processes[process].freeze()

    def thaw(self, processes=PROCESSES):
        for process in processes:
            self.processes[process].thaw()

    def signal_stop(self):
        """Sends SIGTERM to every process of the instance, without waiting."""
        import signal
        for process in self.processes.values():
            process.send(signal.SIGTERM)

    def terminate(self, seconds=15):
        """Drains the instance; returns each process's exit status."""
        self.signal_stop()
        return {n: p.terminate(seconds) for n, p in self.processes.items()}

    def ready(self):
        try:
            return all(request(self.ports[f"{p}_operator"], "GET", "/readyz",
                               timeout=2)[0] == 200 for p in PROCESSES)
        except OSError:
            return False


class Fleet:
    """Stand-ins for the platform and its endpoints, and the instances."""

    def __init__(self, bin_dir, log_dir, base=18000):
        self.bin_dir = pathlib.Path(bin_dir)
        self.log_dir = pathlib.Path(log_dir)
        self.log_dir.mkdir(parents=True, exist_ok=True)
        self.base = base
        self.flags = {}       # program name -> extra flags
        self.standins = {}    # name -> (Process, port)
        self.instances = {}   # name -> Instance
        self.next_engine, self.next_service = 0, 0

    def start_standin(self, name, program, port, flags=()):
        argv = [self.bin_dir / program, f"--listen=127.0.0.1:{port}", *flags]
        self.standins[name] = (Process(name, argv, self.log_dir).start(), port)
        wait_until(lambda: self._healthy(port), READY_SECONDS, f"{name} started")
        return port

    def start_platform(self, flags=()):
        return self.start_standin("platform", "standin-platform", self.base, flags)

    def start_engine(self, name, model="assistant", flags=()):
        port = self.base + ENGINE_PORTS + self.next_engine
        self.next_engine += 1
        return self.start_standin(name, "standin-engine", port,
                                  [f"--model={model}", *flags])

    def start_service(self, name, flags=()):
        port = self.base + SERVICE_PORTS + self.next_service
        self.next_service += 1
        return self.start_standin(name, "standin-service", port, flags)

    def restart_standin(self, name):
        process, port = self.standins[name]
        process.kill()
        process.start()
        wait_until(lambda: self._healthy(port), READY_SECONDS, f"{name} started")

    def add_instance(self, name, zone):
        instance = Instance(self, len(self.instances), name, zone)
        self.instances[name] = instance
        instance.start()
        return instance

    def wait_ready(self, names=None, seconds=READY_SECONDS):
        for name in names or list(self.instances):
            wait_until(self.instances[name].ready, seconds, f"{name} ready")

    def any_feed(self):
        for instance in self.instances.values():
            steward = instance.processes.get("steward")
            if steward and steward.running():
                return instance.address("feed")
        raise RuntimeError("no steward runs")

    def ctl(self, *arguments, feed=None, timeout=30):
        """Runs celerykeelctl; returns (exit status, output, errors)."""
        argv = [str(self.bin_dir / "celerykeelctl"),
                f"--feed={feed or self.any_feed()}", *map(str, arguments)]
        done = subprocess.run(argv, capture_output=True, text=True,
                              timeout=timeout, check=False)
        return done.returncode, done.stdout, done.stderr

    def submit(self, ticket, wait=True):
        """Submits a ticket given as a dict; returns (status, out, errors)."""
        path = self.log_dir / f"ticket-{ticket['number']}-{time.monotonic_ns()}.json"
        path.write_text(json.dumps(ticket, indent=1))
        arguments = ["ticket", "submit", path] + (["--wait"] if wait else [])
        return self.ctl(*arguments)

    def make_key(self, team):
        """Makes a key; returns (the key, its object for a ticket)."""
        status, out, errors = self.ctl("key", "make", f"--team={team}", "--json")
        if status != 0:
            raise RuntimeError(f"key make: {errors}")
        made = json.loads(out)
        return made["key"], made["for_ticket"]

    def control(self, standin, path):
        """Injects a fault at a stand-in."""
        status, _, text = request(self.standins[standin][1], "POST",
                                  f"/control/{path}")
        if status not in (200, 204):
            raise RuntimeError(f"{standin} /control/{path}: {status} {text}")

    def witness(self, standin, path="/witness"):
        return json.loads(request(self.standins[standin][1], "GET", path)[2])

    def stop(self):
        """Ends every process that this fleet started."""
        for instance in self.instances.values():
            instance.thaw([p for p in instance.processes])
            instance.signal_stop()
        for instance in self.instances.values():
            for process in instance.processes.values():
                process.terminate(5)
        for process, _ in self.standins.values():
            process.kill()

    @staticmethod
    def _healthy(port):
        try:
            return request(port, "GET", "/healthz", timeout=1)[0] == 200
        except OSError:
            return False
