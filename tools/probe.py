"""What a process costs, read from /proc and ss, and slopes through it."""

import os
import pathlib
import re
import subprocess

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid):
    """Processor time that the process used so far, user and system."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


def socket_bytes(pids):
    """{(pid, local, remote): bytes sent} of the processes' open TCP sockets."""
    out = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True,
                         check=False).stdout
    sent = {}
    for line in out.splitlines():
        owner = re.search(r"pid=(\d+),", line)
        if not owner or int(owner[1]) not in pids:
            continue
        count = re.search(r"bytes_sent:(\d+)", line)
        local, remote = line.split()[3:5]
        sent[int(owner[1]), local, remote] = int(count[1]) if count else 0
    return sent


def slope(points):
    """Least squares through (size, value) pairs: (slope, value at 0)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    over = sum((x - mean_x) ** 2 for x, _ in points)
    steep = sum((x - mean_x) * (y - mean_y) for x, y in points) / over
    return steep, mean_y - steep * mean_x
