"""Measures what the start of an entry router costs.

    .venv/bin/python -m tests.adapter.start_cost

For each step of the imports it prints the processor time and the resident memory so
far, then how long a router takes until it is ready, with a store on loopback.
"""

import asyncio
import pathlib
import subprocess
import sys
import tempfile
import time

from tests import entry_bench
from tests.adapter import soak, store_bench

ROOT = pathlib.Path(__file__).parents[2]
STEPS = (
    "asyncio",
    "uvloop",
    "msgspec",
    "msgpack",
    "httptools",
    "prometheus_client",
    "pythonjsonlogger.json",
    "adapter.router_role",
)
START_COUNT = 5
ROUTER_NUMBER = 10
"""Not one that the soak uses."""
IMPORT_PROGRAM = """
import sys, time
sys.path.insert(0, "platform")
sys.path.append(".")
for name in sys.argv[1:]:
    __import__(name)
lines = open("/proc/self/status").read().splitlines()
resident_kb = next(line.split()[1] for line in lines if line.startswith("VmRSS"))
print(round(1000 * time.process_time()), resident_kb)
"""


def measure_imports(modules: list[str]) -> tuple[int, float]:
    """Returns processor time in ms and resident memory in MB after some imports."""
    command = [sys.executable, "-c", IMPORT_PROGRAM, *modules]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    time_ms, resident_kb = done.stdout.split()
    return int(time_ms), int(resident_kb) / 1024


async def measure_start(folder: pathlib.Path) -> float:
    """Returns how long a router takes to become ready, in seconds."""
    server = entry_bench.ScriptedUpstream("i-1", entry_bench.respond_ok)
    async with store_bench.KeyedStore() as store, server:
        store.put("keyed.op", "config", soak.make_manifest())
        store.register(server)
        known = store.describe()
        router = soak.Router(ROUTER_NUMBER, f"{known.host}:{known.port}", folder)
        began_at = time.monotonic()
        try:
            await router.start()
            await router.wait_ready()
            return time.monotonic() - began_at
        finally:
            await router.close()


def main() -> None:
    """Measures, and prints a line for each figure."""
    for place in range(len(STEPS) + 1):
        time_ms, resident_mb = measure_imports(list(STEPS[:place]))
        name = STEPS[place - 1] if place else "nothing"
        print(f"{name}: {time_ms} ms, {resident_mb:.1f} MB")
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(START_COUNT):
            took_s = asyncio.run(measure_start(pathlib.Path(folder)))
            print(f"ready after {took_s:.2f} s")


if __name__ == "__main__":
    main()
