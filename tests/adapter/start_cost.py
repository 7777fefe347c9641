"""Measures the startup cost of an entry router.

    .venv/bin/python -m tests.adapter.start_cost

Prints the cumulative processor time and resident memory after each import step, then
how long a router takes to become ready with a store on loopback.
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
"""Chosen so that the router's address differs from those of the soak."""
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
    """Returns the processor time in ms and resident memory in MB after some imports."""
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
        address = store.describe()
        router = soak.Router(ROUTER_NUMBER, f"{address.host}:{address.port}", folder)
        began_at = time.monotonic()
        try:
            await router.start()
            await router.wait_ready()
            return time.monotonic() - began_at
        finally:
            await router.close()


def main() -> None:
    """Takes all measurements and prints one line for each."""
    for count in range(len(STEPS) + 1):
        time_ms, resident_mb = measure_imports(list(STEPS[:count]))
        name = STEPS[count - 1] if count else "nothing"
        print(f"{name}: {time_ms} ms, {resident_mb:.1f} MB")
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(START_COUNT):
            took_s = asyncio.run(measure_start(pathlib.Path(folder)))
            print(f"ready after {took_s:.2f} s")


if __name__ == "__main__":
    main()
