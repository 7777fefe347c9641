import unittest

from teaselsill import (
    errors,
    exchange,
    invariants,
    messages,
    refusals,
    response_delivery,
    running,
)
from tests import bench

ATTEMPT = "router-x:1"


class InvariantTest(unittest.IsolatedAsyncioTestCase):
    """A violated invariant is counted, and the caller gets a correct outcome."""

    def setUp(self):
        before = invariants.violation_count_by_name.copy()
        self.addCleanup(invariants.violation_count_by_name.update, before)
        self.addCleanup(invariants.violation_count_by_name.clear)
        invariants.violation_count_by_name.clear()

    async def test_not_run_after_sending_is_reported_as_unknown(self):
        async with bench.Bench() as fleet:
            member = fleet.agents[0].agent
            member._runner.run = self.send_and_refuse
            with self.assertRaises(errors.RequestError) as caught:
                await fleet.call(bench.ORDER)
        refusal = refusals.describe(caught.exception)
        self.assertEqual(messages.Outcome.UNKNOWN, refusal.outcome)
        self.assertEqual(
            {"FalseRefusalError": 1}, dict(invariants.violation_count_by_name)
        )

    async def send_and_refuse(self, run):
        run.sent = True
        raise running.NotRunError(messages.Reason.UPSTREAM_UNREACHABLE)

    async def test_truncated_response_is_not_passed_on_as_complete(self):
        received = exchange.Exchange(ATTEMPT, "agent-x", lambda through: None)
        received.receive(messages.Head(ATTEMPT, 200, []))
        outcome = messages.Outcome.RAN
        received.receive(messages.End(ATTEMPT, 1, outcome, messages.Reason.NONE))
        received._receiver.next_sequence = 1
        await received.head()
        with self.assertRaises(response_delivery.TruncatedAnswerError):
            await anext(received.body())
        self.assertEqual(
            {"TruncatedAnswerError": 1}, dict(invariants.violation_count_by_name)
        )
