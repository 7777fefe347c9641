"""Runs every test, passes over those in KNOWN-RED.txt, prints one closing line."""

import concurrent.futures
import dataclasses
import io
import pathlib
import sys
import time
import unittest

import hypothesis

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
WORKERS = 3
"""How many test classes run at a time; those with processes mostly wait."""
SLOW_S = 15.0
"""A class that takes longer is named."""


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What came of the tests of one class."""

    name: str
    ran: int
    failing: frozenset[str]
    skipped: int
    text: str
    duration_s: float


def known_red_ids():
    """Reads the ids of the tests that are listed as failing for a real fault."""
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip() for entry in entries}


def load(names):
    """Loads the named tests, or all of them."""
    loader = unittest.defaultTestLoader
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))


def ids_by_class(suite):
    """Returns the ids of a suite's tests by the name of their class."""
    found = {}
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            for name, ids in ids_by_class(test).items():
                found.setdefault(name, []).extend(ids)
        else:
            found.setdefault(test.id().rpartition(".")[0], []).append(test.id())
    return found


def run_class(name, ids):
    """Runs the tests of one class in this process."""
    hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
    hypothesis.settings.load_profile("ci")
    began_at = time.monotonic()
    stream = io.StringIO()
    runner = unittest.TextTestRunner(stream, verbosity=1, buffer=True)
    result = runner.run(_load_ids(ids))
    failing = {_id_of(test) for test, _ in result.failures + result.errors}
    return Outcome(
        name,
        result.testsRun,
        frozenset(failing),
        len(result.skipped),
        stream.getvalue(),
        time.monotonic() - began_at,
    )


def _load_ids(ids):
    """Loads tests by id; a module that cannot be imported fails under its name."""
    prefix = "unittest.loader._FailedTest."
    return load([test_id.removeprefix(prefix) for test_id in ids])


def _id_of(test):
    """Returns the id of a test; for a subtest, that of the test around it."""
    return getattr(test, "test_case", test).id()


def main(names):
    """Runs the tests and returns the exit status."""
    found = ids_by_class(load(names))
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        outcomes = list(pool.map(run_class, found, found.values()))
    for outcome in outcomes:
        if outcome.failing:
            print(outcome.text)
        if outcome.duration_s > SLOW_S:
            print(f"{outcome.name} took {outcome.duration_s:.0f} s")
    failing = {test_id for outcome in outcomes for test_id in outcome.failing}
    expected = known_red_ids()
    for test_id in sorted(failing & expected):
        print(f"KNOWN RED, passed over: {test_id}")
    ran = sum(outcome.ran for outcome in outcomes)
    failed = len(failing - expected)
    skipped = sum(outcome.skipped for outcome in outcomes) + len(failing & expected)
    print(f"{ran - failed - skipped} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not ran else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
