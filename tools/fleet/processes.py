"""Starts and ends the processes of a fleet, each by its own process id."""

import os
import pathlib
import signal
import subprocess
import time

STOP_SECONDS = 10


class Process:
    """One running program with its log file."""

    def __init__(self, name, argv, log_dir, env=None):
        self.name = name
        self.argv = [str(a) for a in argv]
        self.log_path = pathlib.Path(log_dir) / f"{name}.log"
        self.env = env
        self.popen = None

    def start(self):
        environment = {k: v for k, v in os.environ.items()
                       if not k.startswith("CELERYKEEL_")}
        environment.update(self.env or {})
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                self.argv, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=environment, start_new_session=True)
        return self

    @property
    def pid(self):
        return self.popen.pid

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def send(self, number):
        if self.running():
            self.popen.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.popen:
            self.popen.wait()

    def terminate(self, seconds=STOP_SECONDS):
        """Asks the process to end; returns its exit status, or kills it."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def freeze(self):
        self.send(signal.SIGSTOP)

    def thaw(self):
        self.send(signal.SIGCONT)


def wait_until(condition, seconds, what, pause=0.05):
    """Waits for `condition()`; raises TimeoutError naming `what`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(pause)
    raise TimeoutError(f"{what} did not happen within {seconds} s")
