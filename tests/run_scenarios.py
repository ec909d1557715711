#!/usr/bin/env python3
"""Runs scenarios (tests/scenarios/*.scn) on real processes.

Usage: run_scenarios.py [--bin=DIR] [--out=DIR] [--jobs=N] [--base=PORT]
                        [--bless] [NAME...]

Prints a line for each scenario and ends with "N passed, N failed". The
language is described in tests/scenarios/README.md.
"""

import argparse
import concurrent.futures
import pathlib
import sys
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))
sys.path.insert(0, str(ROOT / "tests"))

from scenario.interpreter import Failure, Interpreter  # noqa: E402

PORTS_PER_SCENARIO = 260


def run_one(path, arguments, index):
    """Runs one scenario; returns (name, seconds, error or None)."""
    name = path.stem
    started = time.monotonic()
    base = arguments.base + PORTS_PER_SCENARIO * index
    out = pathlib.Path(arguments.out) / name
    interpreter = Interpreter(arguments.bin, out, base, arguments.bless)
    error = None
    try:
        interpreter.run(path)
    except Failure as failure:
        error = str(failure)
    except Exception:  # the runner's own fault is a failure too
        error = f"line {interpreter.line}: " + traceback.format_exc(limit=4)
    finally:
        interpreter.close()
    return name, time.monotonic() - started, error


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", default=str(ROOT / "build" / "bin"))
    parser.add_argument("--out", default=str(ROOT / "out" / "scenarios"))
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--base", type=int, default=20000)
    parser.add_argument("--bless", action="store_true",
                        help="write the golden files anew")
    parser.add_argument("names", nargs="*")
    arguments = parser.parse_args()
    paths = sorted((ROOT / "tests" / "scenarios").glob("*.scn"))
    if arguments.names:
        paths = [p for p in paths if p.stem in arguments.names]
    passed = failed = 0
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        runs = [pool.submit(run_one, path, arguments, i)
                for i, path in enumerate(paths)]
        for run in runs:
            name, seconds, error = run.result()
            if error is None:
                passed += 1
                print(f"ok      scenario {name} ({seconds:.1f} s)", flush=True)
            else:
                failed += 1
                print(f"FAILED  scenario {name} ({seconds:.1f} s): {error}",
                      flush=True)
    print(f"{passed} passed, {failed} failed")
    return 0 if failed == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
