import random
import unittest

from teaselsill import counters, policies, registry


def make_candidate(account, oldest_ms=0, expected=10.0, is_preferred=False):
    return policies.Candidate(account, oldest_ms, expected, is_preferred)


def make_policy(name):
    return registry.get(registry.Kind.POLICY, name)(random.Random(1))


def make_counters(**served_by_account):
    service_counters = counters.Counters(1e6)
    for account, served in served_by_account.items():
        service_counters.add_served(account, served)
    return service_counters


class PoliciesTest(unittest.TestCase):
    def choices(self, name, candidates, served, count=200):
        policy = make_policy(name)
        return {policy.choose(candidates, served).account for _ in range(count)}

    def test_all_policies_choose_a_candidate(self):
        for name in registry.names(registry.Kind.POLICY):
            with self.subTest(name):
                only = make_candidate("a")
                self.assertIs(only, make_policy(name).choose([only], make_counters()))

    def test_least_service_takes_the_least_estimate(self):
        candidates = [make_candidate("a"), make_candidate("b"), make_candidate("c")]
        served = make_counters(a=30, b=10, c=20)
        served.reserve("b", 15)
        self.assertEqual({"c"}, self.choices("least-service", candidates, served))

    def test_least_service_prefers_only_among_equals(self):
        candidates = [
            make_candidate("a", 5),
            make_candidate("b", is_preferred=True),
            make_candidate("c"),
        ]
        self.assertEqual(
            {"b"}, self.choices("least-service", candidates, make_counters(c=1))
        )
        self.assertEqual(
            {"a"}, self.choices("least-service", candidates, make_counters(b=1))
        )

    def test_spread_takes_any_within_one_request_of_the_least(self):
        candidates = [make_candidate("a"), make_candidate("b"), make_candidate("c")]
        served = make_counters(a=0, b=9, c=11)
        self.assertEqual({"a", "b"}, self.choices("spread", candidates, served))

    def test_spread_widens_with_the_number_of_agents(self):
        candidates = [make_candidate("a"), make_candidate("b"), make_candidate("c")]
        served = make_counters(a=0, b=39, c=41)
        served.agents = 4 * policies.AGENTS_PER_REQUEST
        self.assertEqual({"a", "b"}, self.choices("spread", candidates, served))

    def test_spread_prefers_only_within_one_request_of_the_least(self):
        candidates = [make_candidate("a"), make_candidate("b", is_preferred=True)]
        self.assertEqual({"b"}, self.choices("spread", candidates, make_counters(b=9)))
        self.assertEqual({"a"}, self.choices("spread", candidates, make_counters(b=11)))

    def test_first_come_takes_the_longest_wait(self):
        candidates = [
            make_candidate("a", 1),
            make_candidate("b", 3),
            make_candidate("c", 2),
        ]
        self.assertEqual(
            {"b"}, self.choices("first-come", candidates, make_counters(b=99))
        )

    def test_round_robin_takes_turns(self):
        policy = make_policy("round-robin")
        candidates = [make_candidate("a"), make_candidate("b"), make_candidate("c")]
        chosen = [policy.choose(candidates, make_counters()).account for _ in range(6)]
        self.assertEqual(["a", "b", "c"] * 2, chosen)

    def test_local_counters_know_only_what_this_agent_served(self):
        policy = make_policy("local-counters")
        policy.add_served("b", 5)
        policy.add_served("a", 1)
        candidates = [make_candidate("a"), make_candidate("b")]
        self.assertEqual("a", policy.choose(candidates, make_counters(a=1000)).account)
