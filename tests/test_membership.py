import unittest

from teaselsill import ids, instances, membership

AGENT = instances.Instance(
    ids.InstanceId("agent-0"),
    instances.Role.AGENT,
    ids.DataCentre("oslo-a"),
    "127.0.0.1",
    service=ids.ServiceName("bookings"),
)


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    async def test_last_list_is_kept_while_the_source_is_down_or_empty(self):
        source = instances.MemoryInstanceList([AGENT])
        members = membership.Membership(source)
        await members.refresh()
        source.by_id = {}
        with self.assertRaises(instances.InstanceListUnavailableError):
            await members.refresh()
        source.down = True
        with self.assertRaises(instances.InstanceListUnavailableError):
            await members.refresh()
        self.assertEqual([AGENT], members.agents_of("bookings"))
