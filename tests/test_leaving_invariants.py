import unittest

import hypothesis
from hypothesis import stateful, strategies

from teaselsill import ids, upstream_list
from tests import test_upstream_list

NAMES = strategies.sampled_from(["u", "v"])
SERVICE = ids.ServiceName("s")


class LeavingMachine(stateful.RuleBasedStateMachine):
    """List entries and responses that arrive late, twice and in any order.

    An upstream that an entry or a response has reported as leaving is never used again
    until it restarts with a later `born_ms`.
    """

    def __init__(self):
        super().__init__()
        self.listed = upstream_list.UpstreamList()
        self.left = set()
        self.now = 0.0

    def usable(self):
        return self.listed.usable(SERVICE)

    @stateful.rule(name=NAMES, born_ms=strategies.integers(1, 3))
    def entry_reports_ready(self, name, born_ms):
        self.listed.put(test_upstream_list.make_upstream(name, born_ms))

    @stateful.rule(name=NAMES, born_ms=strategies.integers(1, 3))
    def entry_reports_leaving(self, name, born_ms):
        known = self.listed.by_id.get(ids.UpstreamId(name))
        if known is None or known.born_ms <= born_ms:
            self.left.add((name, born_ms))
        leaving = upstream_list.State.LEAVING
        self.listed.put(test_upstream_list.make_upstream(name, born_ms, state=leaving))

    @stateful.rule(data=strategies.data())
    def response_reports_leaving(self, data):
        usable = self.usable()
        if usable:
            upstream = data.draw(strategies.sampled_from(usable))
            self.left.add((upstream.id, upstream.born_ms))
            self.listed.note_leaving(upstream)

    @stateful.rule(name=NAMES)
    def entry_is_removed(self, name):
        self.listed.remove(ids.UpstreamId(name), self.now)

    @stateful.rule()
    def list_was_unavailable(self):
        self.listed.note_outage(self.now)

    @stateful.rule(passed_s=strategies.floats(0.1, 3.0))
    def time_passes(self, passed_s):
        self.now += passed_s
        self.listed.expire(self.now)

    @stateful.invariant()
    def leaving_upstreams_are_not_used(self):
        usable = {(upstream.id, upstream.born_ms) for upstream in self.usable()}
        assert not usable & self.left, usable & self.left


class LeavingTest(unittest.TestCase):
    def test_leaving_upstream_is_not_used_until_it_restarts(self):
        stateful.run_state_machine_as_test(
            LeavingMachine,
            settings=hypothesis.settings(
                max_examples=200, stateful_step_count=30, derandomize=True
            ),
        )
