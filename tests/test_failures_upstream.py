import unittest

from teaselsill import errors, messages, refusals, upstream
from tests import bench

WHOLE = (200, b"one two three")


class FailingUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """One upstream of two fails; a request that may be repeated goes to the other."""

    async def call_often(self, path, **faults):
        async with bench.Bench(agents=2) as fleet:
            for name, value in faults.items():
                setattr(fleet.agents[0].upstream, name, value)
            return [await self.answer(fleet, path) for _ in range(8)]

    async def answer(self, fleet, path):
        try:
            return await fleet.call(path)
        except errors.RequestError as error:
            return refusals.describe(error).outcome

    async def test_failed_lookup_is_retried(self):
        failed = upstream.UpstreamFailedError("dropped")
        answers = await self.call_often(bench.LOOKUP, error_after=failed)
        self.assertEqual([WHOLE] * 8, answers)

    async def test_refused_lookup_is_retried(self):
        answers = await self.call_often(bench.LOOKUP, status=503)
        self.assertEqual([WHOLE] * 8, answers)

    async def test_refusal_everywhere_reaches_the_caller(self):
        async with bench.Bench() as fleet:
            fleet.agents[0].upstream.status = 503
            self.assertEqual((503, WHOLE[1]), await fleet.call(bench.LOOKUP))

    async def test_failed_order_is_unknown(self):
        failed = upstream.UpstreamFailedError("dropped")
        answers = await self.call_often(bench.ORDER, error_after=failed)
        self.assertLessEqual({*answers}, {WHOLE, messages.Outcome.UNKNOWN})
