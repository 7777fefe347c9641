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


class AssertedPromisesTest(unittest.IsolatedAsyncioTestCase):
    """A promise that is about to be broken is kept, counted and logged."""

    def setUp(self):
        before = invariants.violation_count_by_name.copy()
        self.addCleanup(invariants.violation_count_by_name.update, before)
        self.addCleanup(invariants.violation_count_by_name.clear)
        invariants.violation_count_by_name.clear()

    async def test_refusal_after_sending_is_told_as_unknown(self):
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

    async def test_truncated_answer_does_not_pass_for_whole(self):
        taking = exchange.Exchange(ATTEMPT, "agent-x", lambda through: None)
        taking.receive(messages.Head(ATTEMPT, 200, []))
        whole = messages.Outcome.RAN
        taking.receive(messages.End(ATTEMPT, 1, whole, messages.Reason.NONE))
        taking._receiver.next_sequence = 1
        await taking.head()
        with self.assertRaises(response_delivery.TruncatedAnswerError):
            await anext(taking.body())
        self.assertEqual(
            {"TruncatedAnswerError": 1}, dict(invariants.violation_count_by_name)
        )
