import unittest

from teaselsill import errors, messages, refusals, upstream
from tests import bench

COMPLETE_RESPONSE = (200, b"one two three")


class FailingUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """One of two upstreams fails; a repeatable request is retried at the other."""

    async def call_repeatedly(self, path, **faults):
        async with bench.Bench(agents=2) as fleet:
            for name, value in faults.items():
                setattr(fleet.agents[0].upstream, name, value)
            return [await self.result_of(fleet, path) for _ in range(8)]

    async def result_of(self, fleet, path):
        try:
            return await fleet.call(path)
        except errors.RequestError as error:
            return refusals.describe(error).outcome

    async def test_failed_lookup_is_retried(self):
        failed = upstream.UpstreamFailedError("dropped")
        results = await self.call_repeatedly(bench.LOOKUP, error_after=failed)
        self.assertEqual([COMPLETE_RESPONSE] * 8, results)

    async def test_rejected_lookup_is_retried(self):
        results = await self.call_repeatedly(bench.LOOKUP, status=503)
        self.assertEqual([COMPLETE_RESPONSE] * 8, results)

    async def test_rejection_by_all_upstreams_reaches_the_caller(self):
        async with bench.Bench() as fleet:
            fleet.agents[0].upstream.status = 503
            self.assertEqual(
                (503, COMPLETE_RESPONSE[1]), await fleet.call(bench.LOOKUP)
            )

    async def test_failed_order_has_an_unknown_outcome(self):
        failed = upstream.UpstreamFailedError("dropped")
        results = await self.call_repeatedly(bench.ORDER, error_after=failed)
        self.assertLessEqual({*results}, {COMPLETE_RESPONSE, messages.Outcome.UNKNOWN})
