"""Runs the tests and prints a summary; failures listed in KNOWN-RED.txt are accepted.

The classes of the tests run in several processes. A class with `runs_alone = True`,
whose bound would not hold beside other load, runs after the others, one at a time.
"""

import concurrent.futures
import dataclasses
import io
import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
WORKERS = 3
"""How many test classes run in parallel; those that start processes mostly wait."""

SLOW_S = 15.0
"""A class that takes longer is printed."""


@dataclasses.dataclass(frozen=True)
class ClassResult:
    """The result of the tests of one class.

    Attributes:
        name: The name of the class, with its module.
        ran: The number of tests that ran.
        failing: The ids of the tests that failed.
        skipped: The number of tests that were skipped.
        text: What the test runner printed.
        duration_s: How long the tests took, in seconds.
    """

    name: str
    ran: int
    failing: frozenset[str]
    skipped: int
    text: str
    duration_s: float


def read_known_red_ids():
    """Returns the ids of the tests that KNOWN-RED.txt lists as failing."""
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip() for entry in entries}


def load(names):
    """Loads the tests with the given names, or all tests."""
    loader = unittest.defaultTestLoader
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))


def group_ids_by_class(suite):
    """Returns the ids of the tests in a suite, by class name."""
    found = {}
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            for name, ids in group_ids_by_class(test).items():
                found.setdefault(name, []).extend(ids)
        else:
            found.setdefault(test.id().rpartition(".")[0], []).append(test.id())
    return found


def find_alone(suite):
    """Returns the names of the classes in a suite that run alone."""
    found = set()
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            found |= find_alone(test)
        elif getattr(test, "runs_alone", False):
            found.add(test.id().rpartition(".")[0])
    return found


def run_classes(ids_by_class, alone):
    """Runs the tests of classes: several classes at once, then those that run alone."""
    beside = [name for name in ids_by_class if name not in alone]
    last = [name for name in ids_by_class if name in alone]
    results = []
    for names, workers in ((beside, WORKERS), (last, 1)):
        with concurrent.futures.ProcessPoolExecutor(workers) as pool:
            ids = [ids_by_class[name] for name in names]
            results += pool.map(run_class, names, ids)
    return results


def run_class(name, ids):
    """Runs the tests of one class in this process."""
    started_at = time.monotonic()
    stream = io.StringIO()
    runner = unittest.TextTestRunner(stream, verbosity=1, buffer=True)
    result = runner.run(_load_ids(ids))
    failing = {_id_of(test) for test, _ in result.failures + result.errors}
    return ClassResult(
        name,
        result.testsRun,
        frozenset(failing),
        len(result.skipped),
        stream.getvalue(),
        time.monotonic() - started_at,
    )


def _load_ids(ids):
    """Loads tests by id; a module that cannot be imported becomes a failing test."""
    prefix = "unittest.loader._FailedTest."
    return load([test_id.removeprefix(prefix) for test_id in ids])


def _id_of(test):
    """Returns the id of a test, or for a subtest the id of its test."""
    return getattr(test, "test_case", test).id()


def main(names):
    """Runs the tests and returns the exit status."""
    suite = load(names)
    results = run_classes(group_ids_by_class(suite), find_alone(suite))
    for result in results:
        if result.failing:
            print(result.text)
        if result.duration_s > SLOW_S:
            print(f"{result.name} took {result.duration_s:.0f} s")
    failing = {test_id for result in results for test_id in result.failing}
    expected = read_known_red_ids()
    for test_id in sorted(failing & expected):
        print(f"KNOWN RED, passed over: {test_id}")
    ran = sum(result.ran for result in results)
    failed = len(failing - expected)
    skipped = sum(result.skipped for result in results) + len(failing & expected)
    print(f"{ran - failed - skipped} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not ran else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
