"""Measures what the quarantine of prompt parts costs a router at its bounds.

Run it by `.venv/bin/python -m tests.quarantine_cost`.
"""

import logging
import time
import tracemalloc

from teaselsill import (
    crash_analysis,
    crash_reports,
    ids,
    part_survivals,
    quarantine,
    trial_claims,
    wire,
)
from tests import test_crash_analysis, test_quarantine

NOW = 100.0
CALLS = 100_000
DECISIONS = 20


def fill_survivals():
    """Returns as many survivals as are remembered."""
    survivals = part_survivals.PartSurvivals()
    for number in range(part_survivals.MAX_PARTS):
        survivals.note_response([ids.PartKey(f"{number:012x}")], NOW)
    return survivals


def fill_history():
    """Returns as many unexplained crashes as are remembered."""
    history = crash_analysis.CrashHistory()
    for crash in range(crash_analysis.MAX_CRASHES):
        suspects = [
            test_crash_analysis.make_suspect(
                f"{crash:08x}{n:08x}", f"{n % 5:012x}", f"{n:012x}", f"{crash}-{n:09x}"
            )
            for n in range(crash_analysis.MAX_SUSPECTS)
        ]
        report = test_crash_analysis.make_crash(crash, *suspects, age_s=50 - crash)
        history.add(report, NOW)
    return history


def count_bytes(**fields):
    """Returns how many bytes some news add to a report."""
    news = crash_reports.News(**fields)
    return len(wire.pack(news)) - len(wire.pack(crash_reports.NO_NEWS))


def measure_s(call, times):
    """Returns how long one call takes, in seconds."""
    began_at = time.perf_counter()
    for _ in range(times):
        call()
    return (time.perf_counter() - began_at) / times


def main():
    """Prints memory, times and bytes."""
    logging.disable()
    tracemalloc.start()
    kept = [fill_survivals()]
    print(f"survivals: {tracemalloc.get_traced_memory()[0] / 1024:.0f} KB")
    kept.append(fill_history())
    print(f"with crashes: {tracemalloc.get_traced_memory()[0] / 1024:.0f} KB")
    tracemalloc.stop()

    unexplained = kept[1].list_unexplained(NOW)
    survivals = part_survivals.PartSurvivals()
    decide_s = measure_s(
        lambda: crash_analysis.find_culprit(unexplained, survivals, set(), NOW),
        DECISIONS,
    )
    print(f"one decision: {1e3 * decide_s:.1f} ms")

    suspects = [
        test_crash_analysis.make_suspect(f"{n:016x}", *(c * 12 for c in "abc"))
        for n in range(3)
    ]
    crash = test_crash_analysis.make_crash(1, *suspects)
    print(f"crash with three requests: {count_bytes(crashes=[crash])} bytes")
    entry = crash_reports.QuarantinedPart(ids.PartKey("a" * 12), 1.234, 1)
    print(f"quarantined part: {count_bytes(quarantined=[entry])} bytes")

    parts_quarantine = quarantine.Quarantine()
    parts_quarantine.apply(crash_reports.News(quarantined=[entry]), NOW)
    parts = test_quarantine.make_parts("x", "y", "z")
    check_s = measure_s(
        lambda: parts_quarantine.check(parts, NOW, lambda: trial_claims.CLAIM_S), CALLS
    )
    survive_s = measure_s(lambda: parts_quarantine.note_survival(parts, NOW), CALLS)
    print(f"check of a request: {1e6 * check_s:.1f} us")
    print(f"survival of a request: {1e6 * survive_s:.1f} us")


if __name__ == "__main__":
    main()
