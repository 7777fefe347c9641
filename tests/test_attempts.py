import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import attempts

RETENTION_S = 60.0


class AttemptsTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.attempts = self.make(limit=4)

    def make(self, limit):
        return attempts.Attempts(limit, RETENTION_S, lambda: self.now)

    def test_refused_attempt_never_begins(self):
        self.assertTrue(self.attempts.refuse("r:1"))
        with self.assertRaises(attempts.AttemptRefusedError):
            self.attempts.begin("r:1")
        self.assertTrue(self.attempts.refuse("r:1"))

    def test_seen_attempt_is_neither_repeated_nor_reported_as_not_run(self):
        self.attempts.begin("r:1")
        for state in (attempts.State.RUNNING, attempts.State.ENDED):
            self.assertIs(state, self.attempts.state_of("r:1"))
            self.assertFalse(self.attempts.refuse("r:1"))
            with self.assertRaises(attempts.AttemptRepeatedError):
                self.attempts.begin("r:1")
            if state is attempts.State.RUNNING:
                self.attempts.end("r:1")

    def test_nothing_is_reported_as_not_run_to_a_forgotten_router(self):
        self.attempts.begin("r:5")
        self.attempts.end("r:5")
        self.now = 10 * RETENTION_S
        self.attempts.begin("other:1")
        self.now = 20 * RETENTION_S
        self.assertFalse(self.attempts.refuse("r:3"))
        self.assertFalse(self.attempts.refuse("r:5"))
        self.attempts.begin("r:9")
        self.assertFalse(self.attempts.refuse("r:5"))
        self.assertTrue(self.attempts.refuse("r:10"))

    def test_router_of_a_running_attempt_is_kept(self):
        self.attempts.begin("r:5")
        self.now = 10 * RETENTION_S
        self.attempts.begin("other:1")
        self.attempts.end("r:5")
        self.now = 20 * RETENTION_S
        self.attempts.begin("other:2")
        self.assertFalse(self.attempts.refuse("r:5"))

    def test_memory_is_bounded(self):
        for number in range(100):
            self.attempts.refuse(f"r:{number}")
        self.assertEqual(4, len(self.attempts))

    def test_malformed_ids_are_refused(self):
        for attempt in ("", "r", "r:", ":1", "r:x", "r:-1", "r:²"):
            with self.assertRaises(attempts.MalformedAttemptError):
                self.attempts.begin(attempt)

    @hypothesis.settings(max_examples=600)
    @hypothesis.given(
        strategies.integers(1, 2),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["begin", "run", "fail", "end", "refuse", "wait"]
                ),
                strategies.sampled_from(["r", "s"]),
                strategies.integers(0, 3),
            ),
            min_size=4,
            max_size=40,
        ),
    )
    def test_no_attempt_runs_twice_or_after_not_run(self, limit, steps):
        self.now = 0.0
        memory = self.make(limit)
        ran, not_run, first_seen = set(), set(), {}
        for step, router, counter in steps:
            attempt = (router, counter)
            name = f"{router}:{counter}"
            if step == "wait":
                self.now += RETENTION_S / 3
            elif step == "end":
                if memory.state_of(name) is attempts.State.RUNNING:
                    memory.end(name)
            elif step == "refuse":
                first_seen.setdefault(attempt, self.now)
                if memory.refuse(name):
                    self.assertNotIn(attempt, ran)
                    not_run.add(attempt)
            elif self.may_have_valid_grant(attempt, first_seen):
                first_seen.setdefault(attempt, self.now)
                if self.begins(memory, name):
                    self.assertNotIn(attempt, ran | not_run)
                    (not_run if step == "fail" else ran).add(attempt)
                    if step != "begin":
                        memory.end(name, has_run=step == "run")

    def may_have_valid_grant(self, attempt, first_seen):
        """Returns whether the grant of this dispatch may still be valid."""
        return not any(
            router == attempt[0]
            and counter >= attempt[1]
            and at < self.now - RETENTION_S
            for (router, counter), at in first_seen.items()
        )

    def begins(self, memory, attempt):
        try:
            memory.begin(attempt)
        except attempts.AttemptError:
            return False
        return True
