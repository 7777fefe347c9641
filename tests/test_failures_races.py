import asyncio
import time
import unittest

from teaselsill import backlog, messages
from tests import bench


class RaceTest(unittest.IsolatedAsyncioTestCase):
    """Two events occur in the same iteration of the event loop."""

    async def test_cancel_right_after_dispatch_frees_the_slot(self):
        async with bench.Bench() as fleet:
            await fleet.call(bench.LOOKUP)
            serving = fleet.agents[0].agent
            (peer,) = serving.scheduler.peers
            sent = []
            peer.link.send = sent.append
            serving._handle(peer, messages.Demand(bench.ACCOUNT, 1, 0))
            serving.scheduler.grant_free_slots()
            dispatch = _make_dispatch(sent[-1].grant)
            serving._handle(peer, dispatch)
            serving._handle(peer, messages.Cancel(dispatch.attempt))
            await asyncio.sleep(0.05)
            self.assertEqual(0, serving.scheduler.slots.running)

    async def test_dispatch_at_the_deadline_is_not_reported_as_not_run(self):
        async with bench.Bench() as fleet:
            pool = fleet.router._get_pool(bench.SERVICE)
            request = bench.make_request(bench.ORDER, deadline_s=0.05)
            queued = backlog.QueuedRequest(request, time.monotonic())
            assignment = asyncio.create_task(
                fleet.router._wait_for_assignment(pool, queued)
            )
            await asyncio.sleep(0)
            dispatched = (object(), object())
            loop = asyncio.get_running_loop()
            loop.call_soon(queued.assignment.set_result, dispatched)
            time.sleep(0.1)  # noqa: ASYNC251
            self.assertIs(dispatched, await assignment)


def _make_dispatch(grant):
    return messages.Dispatch(
        grant=grant,
        attempt="router-x:1",
        request="request-x",
        account=bench.ACCOUNT,
        method="GET",
        path=bench.LOOKUP,
        headers=[],
        body=b"",
        budget_ms=5000,
        repeatable=True,
        key="",
        version=0,
    )
