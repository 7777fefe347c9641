import asyncio
import unittest

import aiohttp

from standins import fleet, shapes

SHAPE = shapes.Shape(
    ("oslo-a", "oslo-b"),
    (
        shapes.ServiceShape("engines", "completions", 2),
        shapes.ServiceShape("bookings", "plain", 2),
    ),
    routers=2,
    accounts=2,
)


class EndToEndTest(unittest.IsolatedAsyncioTestCase):
    """A caller's requests are served by routers and agents in separate processes."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(fleet.Fleet(SHAPE))
        self.routers = self.fleet.with_role(fleet.Role.ROUTER)
        self.headers = self.fleet.request_headers(shapes.account_name(0))

    async def send(self, method, router, path, headers=None, **arguments):
        headers = self.headers | (headers or {})
        url = router.url + path
        async with self.fleet.session.request(
            method, url, headers=headers, **arguments
        ) as response:
            return response, await response.read()

    async def test_stream_and_plain_call_and_order(self):
        await self.check_stream()
        await self.check_plain_call()
        await self.check_order_sent_twice()
        await self.check_refusals()
        await self.check_router_without_configuration()
        await self.check_planned_stop()

    async def check_stream(self):
        asked = {
            "model": "engines-model",
            "stream": True,
            "max_tokens": 30,
            "messages": [{"role": "user", "content": "hello"}],
        }
        path = "/v1/chat/completions"
        response, body = await self.send("POST", self.routers[0], path, json=asked)
        direct = self.fleet.node_by_name["engines-0"]
        _, direct_body = await self.send("POST", direct, path, json=asked)
        self.assertEqual(200, response.status)
        self.assertEqual("ran", response.headers["Teaselsill-Outcome"])
        self.assertIn(b"data: [DONE]", body)
        self.assertEqual(_contents(direct_body), _contents(body))

    async def check_plain_call(self):
        path = "/services/bookings/rooms/a%20b?day=1&status=404"
        response, body = await self.send("GET", self.routers[0], path)
        self.assertEqual(404, response.status)
        self.assertIn(b'"path":"/rooms/a', body)

    async def check_order_sent_twice(self):
        key = {"Idempotency-Key": "order-1"}
        path = "/services/bookings/orders/1"
        responses = await asyncio.gather(
            *(
                self.send("POST", router, path, key, data=b"one room")
                for router in self.routers
            )
        )
        await self.send("POST", self.routers[0], path, key, data=b"one room")
        statuses = sorted(response.status for response, _ in responses)
        self.assertIn(statuses, ([200, 200], [200, 409]))
        self.assertEqual(1, await self.count_runs("/orders/1"))

    async def count_runs(self, path):
        total = 0
        for node in self.fleet.with_role(fleet.Role.UPSTREAM):
            if node.name.startswith("bookings"):
                page = await self.fleet.get_json(node.url + "/admin/executions")
                total += sum(page["by_request"].values())
        return total - 1  # Without the run of `check_plain_call`.

    async def check_refusals(self):
        router = self.routers[0]
        for path, headers, status in (
            ("/services/bookings/x", {"Authorization": "Bearer nobody"}, 401),
            ("/services/nothing/x", {}, 404),
            ("/services/bookings/x", {"Teaselsill-Deadline": "soon"}, 400),
        ):
            response, body = await self.send("GET", router, path, headers)
            self.assertEqual(status, response.status)
            self.assertEqual("not-run", response.headers["Teaselsill-Outcome"])
            self.assertIn(b'"error"', body)

    async def check_router_without_configuration(self):
        """A router without a configuration is live but not ready.

        The balancer sends nothing to a router that is not ready.
        """
        platform = [self.fleet.node_by_name[name] for name in ("log", "list")]
        for node in platform:
            await self.fleet.set_faults(node, down=True)
        router = self.fleet.add_router(9)
        await self.fleet.start(router, is_listed=False)
        self.assertEqual(503, await self.wait_status(router, "/ready"))
        self.assertEqual(200, await self.wait_status(router, "/live"))
        for node in platform:
            await self.fleet.set_faults(node)
        await self.fleet.wait_ready([router])

    async def wait_status(self, node, page):
        """Returns the status of an admin page, once the port is open."""
        async with asyncio.timeout(10):
            while True:
                try:
                    async with self.fleet.session.get(node.admin_url + page) as got:
                        return got.status
                except aiohttp.ClientConnectionError:
                    await asyncio.sleep(0.05)

    async def check_planned_stop(self):
        for node in (self.routers[0], self.fleet.agents_of("bookings")[0]):
            self.assertEqual(0, await self.fleet.stop(node))


def _contents(body):
    """Returns the tokens of an event stream without its ids and times."""
    lines = [line for line in body.splitlines() if line.startswith(b"data: ")]
    return [line.partition(b'"delta":')[2] for line in lines]
