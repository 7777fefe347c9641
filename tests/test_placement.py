import random
import unittest

from teaselsill import (
    announcements,
    calls,
    engine_queue,
    http_messages,
    ids,
    placement,
    prefix_cache_index,
    upstream_health,
    upstream_load,
    upstream_speed,
)
from tests import test_upstream_list

HERE = ids.DataCentre("a")


def make_candidate(name, data_centre="a", kv_cache_tokens=100_000, slots=100):
    upstream = test_upstream_list.make_upstream(
        name, data_centre=ids.DataCentre(data_centre), slots=slots
    )
    return placement.Candidate(
        upstream=upstream,
        load=upstream_load.UpstreamLoad(),
        prefix_cache=prefix_cache_index.PrefixCacheIndex(kv_cache_tokens),
        queue=engine_queue.EngineQueue(),
        health=upstream_health.UpstreamHealth(upstream.id),
        announced=announcements.AnnouncedState(upstream.id),
    )


def make_call(*parts, request="1"):
    message = http_messages.Request("POST", "/x/", [], b"", True, "1.1")
    parts = tuple(calls.PromptPart(*part) for part in parts)
    return calls.Call(
        id=ids.RequestId(request),
        message=message,
        received_at=0.0,
        parts=parts,
        prompt_tokens=sum(part.tokens for part in parts),
    )


def choose(call, candidates, now=0.0):
    return placement.choose(call, candidates, HERE, now)


class ChooseTest(unittest.TestCase):
    def test_no_candidates(self):
        self.assertIsNone(choose(make_call(), []))
        self.assertIsNone(choose(make_call(("a", 1), ("b", 1)), []))

    def test_plain_call_goes_to_the_least_loaded_upstream_nearby(self):
        near, far = make_candidate("near"), make_candidate("far", "b")
        self.assertIs(near, choose(make_call(), [far, near]).candidate)
        for _ in range(2):
            near.load.add(upstream_load.InFlightRequest(0, 0.0))
        self.assertIs(far, choose(make_call(), [far, near]).candidate)

    def test_plain_call_goes_where_work_takes_the_least_time(self):
        slow, fast = make_candidate("slow"), make_candidate("fast")
        slow.queue.note_slowdown(2.5, 0.0)
        fast.queue.note_slowdown(1.0, 0.0)
        fast.load.add(upstream_load.InFlightRequest(0, 0.0))
        self.assertIs(fast, choose(make_call(), [slow, fast]).candidate)
        for _ in range(2):
            fast.load.add(upstream_load.InFlightRequest(0, 0.0))
        self.assertIs(slow, choose(make_call(), [slow, fast]).candidate)

    def test_prompt_goes_where_it_is_read_first(self):
        """The fast engine has more tokens to read, but less time to read them in."""
        call = make_call(("own", 4000))
        slow, fast = make_candidate("slow"), make_candidate("fast")
        slow.queue.note_slowdown(1.2, 0.0)
        fast.queue.note_slowdown(0.55, 0.0)
        fast.queue.add(4000, 0.0)
        self.assertIs(fast, choose(call, [slow, fast]).candidate)
        fast.queue.add(4000, 0.0)
        self.assertIs(slow, choose(call, [slow, fast]).candidate)

    def test_engine_that_has_announced_nothing_yet_gets_no_more_than_others(self):
        """It counted at the initial rate, the others at the lower one learned."""
        usual = upstream_speed.UsualRate()
        candidates = [make_candidate(f"u{n}") for n in range(10)]
        for candidate in candidates:
            speed = upstream_speed.UpstreamSpeed(usual)
            candidate.queue = engine_queue.EngineQueue(speed)
            if candidate is not candidates[0]:
                candidate.queue.note_slowdown(1.0, 0.0)
                speed.note_busy(5.0, 0.0)
                speed.note_prefilled(150_000, 0.0)
        random.seed(2)
        chosen = []
        for number in range(200):
            call = make_call((f"own{number}", 2000))
            candidate = choose(call, candidates).candidate
            candidate.queue.add(2000, 0.0)
            chosen.append(candidate)
        self.assertLess(chosen.count(candidates[0]), 1.2 * 200 / 10)

    def test_plain_upstream_that_has_announced_nothing_is_no_better(self):
        silent, told = make_candidate("silent"), make_candidate("told")
        told.queue.note_slowdown(0.8, 0.0)
        for candidate in (silent, told):
            candidate.load.add(upstream_load.InFlightRequest(0, 0.0))
        self.assertIs(told, choose(make_call(), [silent, told]).candidate)

    def test_first_request_for_a_shared_prefix_goes_to_its_home(self):
        names = [f"u{n}" for n in range(5)]
        call = make_call(("tool", 500), ("session", 4000), ("own", 1000))
        chosen = set()
        for order in (names, names[::-1]):
            candidates = [make_candidate(name) for name in order]
            chosen.add(choose(call, candidates).candidate.upstream.id)
        self.assertEqual(1, len(chosen))

    def test_homes_are_spread(self):
        candidates = [make_candidate(f"u{n}") for n in range(5)]
        homes = [
            placement.find_home(make_call((f"s{n}", 9), ("own", 1)), candidates)
            for n in range(500)
        ]
        counts = [homes.count(candidate) for candidate in candidates]
        self.assertTrue(all(60 < count < 140 for count in counts), counts)

    def test_idle_engine_copies_the_cached_prefix_of_a_busy_engine(self):
        call = make_call(("session", 4000), ("own", 1000))
        holder, idle = make_candidate("holder"), make_candidate("idle")
        holder.prefix_cache.note_prompt(call.parts[:1])
        choice = choose(call, [holder, idle])
        self.assertIs(holder, choice.candidate)
        self.assertIsNone(choice.fetch_from)
        self.assertEqual(1000, choice.prefill_tokens)
        holder.queue.add(20_000, 0.0)
        choice = choose(call, [holder, idle])
        self.assertIs(idle, choice.candidate)
        self.assertIs(holder.upstream, choice.fetch_from)
        self.assertEqual(1000, choice.prefill_tokens)

    def test_choices_of_routers_with_the_same_view_are_spread(self):
        call = make_call(("tool", 100), ("own", 1000))
        candidates = [make_candidate(f"u{n}") for n in range(5)]
        for number, candidate in enumerate(candidates):
            candidate.prefix_cache.note_prompt(call.parts[:1])
            candidate.queue.add(1000 * number, 0.0)
        random.seed(1)
        chosen = [
            placement.choose(call, candidates, HERE, 0.0, 50_000).candidate
            for _ in range(200)
        ]
        most = max(chosen.count(candidate) for candidate in candidates)
        self.assertLess(most, 120)
        seen = {choose(call, candidates).candidate.upstream.id for _ in range(20)}
        self.assertEqual({"u0"}, seen)

    def test_prompt_stays_in_its_data_centre_under_similar_load(self):
        call = make_call(("session", 4000), ("own", 1000))
        near, far = make_candidate("near"), make_candidate("far", "b")
        far.prefix_cache.note_prompt(call.parts[:1])
        near.queue.add(500, 0.0)
        choice = choose(call, [near, far])
        self.assertIs(near, choice.candidate)
        self.assertIs(far.upstream, choice.fetch_from)
        near.queue.add(10_000, 0.0)
        self.assertIs(far, choose(call, [near, far]).candidate)

    def test_each_data_centre_has_a_home_for_a_shared_prefix(self):
        candidates = [make_candidate(f"u{n}", "ab"[n % 2]) for n in range(10)]
        for number in range(20):
            call = make_call((f"s{number}", 4000), ("own", 1000))
            home = choose(call, candidates).candidate
            self.assertEqual(HERE, home.upstream.data_centre)
            self.assertIs(home, placement.find_home(call, candidates[::2]))

    def test_long_prompt_goes_where_it_delays_the_fewest_streams(self):
        """A prefill of a second would delay the events of ten streams at one engine."""
        streaming, busy = make_candidate("streaming"), make_candidate("busy")
        for number in range(10):
            streaming.load.add(upstream_load.InFlightRequest(0, 0.0))
            if number < 2:
                busy.load.add(upstream_load.InFlightRequest(0, 0.0))
        busy.queue.add(20_000, 0.0)
        candidates = [streaming, busy]
        short = make_call(("tool", 500), ("own", 1000))
        self.assertIs(streaming, choose(short, candidates).candidate)
        long = make_call(("tool", 500), ("own", placement.LONG_PROMPT_TOKENS))
        self.assertIs(busy, choose(long, candidates).candidate)

    def test_engine_without_a_free_slot_is_not_idle(self):
        """All slots run long responses, although no prompt is left to prefill."""
        call = make_call(("session", 4000), ("own", 1000))
        full, busy = (make_candidate(name, slots=12) for name in ("full", "busy"))
        full.prefix_cache.note_prompt(call.parts[:1])
        for number in range(12):
            full.load.add(upstream_load.InFlightRequest(0, 0.0))
            if number < 8:
                busy.load.add(upstream_load.InFlightRequest(0, 0.0))
        busy.queue.add(5000, 0.0)
        self.assertIs(busy, choose(call, [full, busy]).candidate)
        self.assertGreater(full.predict_wait_s(0.0), 0.05)

    def test_silent_upstream_is_avoided(self):
        silent, other = make_candidate("silent"), make_candidate("other")
        silent.load.add(upstream_load.InFlightRequest(10, 0.0))
        for _ in range(3):
            other.load.add(upstream_load.InFlightRequest(10, 1.0))
        chosen = choose(make_call(), [silent, other], now=1.0)
        self.assertIs(other, chosen.candidate)
        self.assertIsNotNone(choose(make_call(), [silent], now=1.0))
        silent.load.last_received_at = 1.0
        self.assertIs(silent, choose(make_call(), [silent, other], now=1.0).candidate)

    def test_upstream_that_has_gone_dark_is_avoided_for_some_time(self):
        dark, other = make_candidate("dark"), make_candidate("other", "b")
        number = dark.load.add(upstream_load.InFlightRequest(10, 0.0))
        late = placement.MAX_SILENCE_S + 0.1
        self.assertIs(other, choose(make_call(), [dark, other], late).candidate)
        dark.load.remove(number, late)
        soon = late + upstream_health.AVOIDED_S - 0.1
        self.assertIs(other, choose(make_call(), [dark, other], soon).candidate)
        self.assertIs(dark, choose(make_call(), [dark, other], soon + 0.2).candidate)

    def test_failing_upstream_is_avoided_and_tried_again_later(self):
        failing, other = make_candidate("failing"), make_candidate("other", "b")
        for _ in range(upstream_health.MIN_FAILURES):
            failing.health.note(upstream_health.Result.FAILED, 0.0)
        self.assertIs(other, choose(make_call(), [failing, other], 0.1).candidate)
        later = upstream_health.AVOIDED_S + 0.1
        self.assertIs(failing, choose(make_call(), [failing, other], later).candidate)
