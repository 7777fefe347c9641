"""Chooses the upstream for a request, by its load and its cached prompt prefixes."""

import dataclasses
import math
import random

from teaselsill import (
    announcements,
    calls,
    cold_start,
    engine_queue,
    expected_wait,
    ids,
    prefix_cache_index,
    rendezvous,
    slot_wait,
    upstream_health,
    upstream_list,
    upstream_load,
    upstream_speed,
)

TOKENS_PER_REQUEST = 300
"""How much another running request delays a prompt, in prompt tokens."""
LONG_PROMPT_TOKENS = 16_000
"""Prefill of this many tokens delays the events of all streams at that engine."""
TOKENS_PER_DELAYED = 3_000
"""The cost of each response that a long prompt delays, in prompt tokens."""
HOME_RATIO = 0.9
"""The part of a prompt's shared tokens assumed to be cached at its home upstream."""
FETCH_RATIO = 0.1
"""The cost of copying a cached token to another engine, relative to prefilling it."""
MIN_FETCHED_TOKENS = 64
MIN_PER_S = 0.01
"""The smallest limit that is divided by, in requests a second."""
MAX_PERMIT_COST_S = 0.1
"""The cost of a permit that a small prompt uses, at most, in prefill time."""
DISTANCE_REQUESTS = 0.5
"""The cost of sending a plain call to another data centre, in running requests."""
DISTANCE_S = 0.02
"""The same for a prompt and its response, in seconds."""
SILENCE_S = 0.8
"""An upstream that has requests but sends nothing for so long gets no new ones."""
MAX_SILENCE_S = 1.75
"""A sound upstream is not silent for longer; callers abandon a stream after 2 s."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """An upstream and what a router knows of its state.

    Attributes:
        upstream: The upstream.
        load: The requests there.
        prefix_cache: The prompt prefixes that it is believed to have cached.
        queue: The prompts that it has still to prefill.
        health: The results of recent requests.
        announced: What it has announced about its own state.
        hold_time: How long requests hold a slot at the upstreams of its service.
        permit_wait: How long requests wait for a permit if it limits them.
        cold: Whether it is cold, so that it takes few requests.
    """

    upstream: upstream_list.Upstream
    load: upstream_load.UpstreamLoad
    prefix_cache: prefix_cache_index.PrefixCacheIndex
    queue: engine_queue.EngineQueue
    health: upstream_health.UpstreamHealth
    announced: announcements.AnnouncedState
    hold_time: slot_wait.HoldTime = dataclasses.field(
        default_factory=slot_wait.HoldTime
    )
    permit_wait: expected_wait.ExpectedWait = dataclasses.field(
        default_factory=expected_wait.ExpectedWait
    )
    cold: cold_start.ColdState = dataclasses.field(default_factory=cold_start.ColdState)

    @property
    def key(self) -> upstream_list.UpstreamKey:
        """Identifies the incarnation of the upstream."""
        return self.upstream.key

    def find_limit(self, now: float) -> announcements.Limit | None:
        """Returns the limit in force: the lower one of those that hold, or None.

        Args:
            now: The time, in seconds.
        """
        announced = self.announced.limit
        cold = self.cold.find_limit(now)
        if cold is None or announced is None:
            return cold or announced
        return announcements.Limit(
            min(cold.per_s, announced.per_s),
            min(cold.since, announced.since),
            is_strict=True,
        )

    def find_limit_per_s(self, now: float) -> float | None:
        """Returns the limit in force, in requests a second, or None.

        Args:
            now: The time, in seconds.
        """
        if not self.cold.is_limited(now):
            return self.announced.limit_per_s
        return self.find_limit(now).per_s

    @property
    def speed(self) -> upstream_speed.UpstreamSpeed:
        """How fast it works now."""
        return self.queue.speed

    def predict_permit_wait_s(self, now: float) -> float:
        """Returns how long one more request waits for a permit, in seconds."""
        if self.find_limit_per_s(now) is None:
            return 0.0
        return self.permit_wait.predict_s(now)

    def find_rate(self, now: float) -> float:
        """Returns the rate at which prompts can be prefilled, in tokens a second.

        An upstream that limits its requests cannot be sent more than these.

        Args:
            now: The time, in seconds.
        """
        rate = self.queue.find_rate(now)
        per_s = self.find_limit_per_s(now)
        return rate if per_s is None else min(rate, per_s * self.queue.mean_tokens)

    def predict_slot_wait_s(self, now: float) -> float:
        """Returns how long one more request waits for a free slot, in seconds."""
        return self.hold_time.predict_wait_s(
            self.load.count(now), self.upstream.slots, self.speed.find_slowdown(now)
        )

    def predict_wait_s(self, now: float) -> float:
        """Returns how long a prompt waits before it is prefilled, in seconds.

        Both waits overlap: the prompts ahead are prefilled while it waits for a slot.
        """
        return max(self.queue.predict_wait_s(now), self.predict_slot_wait_s(now))


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The upstream chosen for a request.

    Attributes:
        candidate: The upstream.
        prefill_tokens: How many tokens of the prompt it has to prefill.
        score: The cost that was compared, in seconds; in requests for a call without a
            prompt. The lowest wins.
        fetch_from: An upstream that has cached more of the prompt, for the chosen one
            to copy it from, or None.
    """

    candidate: Candidate
    prefill_tokens: int
    score: float
    fetch_from: upstream_list.Upstream | None = None


def choose(
    call: calls.Call,
    candidates: list[Candidate],
    data_centre: ids.DataCentre,
    now: float,
    unreported_tokens: float = 0.0,
    uninterrupted_s: float = math.inf,
    saves_permits: bool = True,
) -> Choice | None:
    """Returns the best upstream for a request, or None if there is none.

    Upstreams that fail or are silent are passed over unless there is no other. One
    that has asked for a pause gets no request.

    Args:
        call: The request.
        candidates: The upstreams that may get it.
        data_centre: Where the router runs.
        now: The time, in seconds.
        unreported_tokens: Estimate of the prompt tokens that other routers have sent to
            engines but not reported yet.
        uninterrupted_s: How long the router has run without interruption, in seconds.
        saves_permits: Whether permits of limited engines are rather kept for prompts
            that make use of them.
    """
    candidates = [c for c in candidates if not c.announced.find_pause_left_s(now)]
    if not candidates:
        return None
    healthy = [
        c for c in candidates if not should_pass_over(c, now, uninterrupted_s)
    ] or candidates
    random.shuffle(healthy)
    if call.parts:
        return _choose_engine(
            call, healthy, data_centre, now, unreported_tokens, saves_permits
        )
    scores = [_score_plain(c, data_centre, now) for c in healthy]
    least = min(scores)
    return Choice(healthy[scores.index(least)], 0, least)


def find_least_loaded(candidates: list[Candidate], now: float) -> list[Candidate]:
    """Returns the candidate with the fewest requests; none if there are none.

    Args:
        candidates: The upstreams.
        now: The time, in seconds.
    """
    return sorted(candidates, key=lambda c: c.load.count(now))[:1]


def find_home(call: calls.Call, candidates: list[Candidate]) -> Candidate | None:
    """Returns the home upstream of a prompt's shared prefix, by rendezvous hashing.

    The last part of a prompt is unique to the request; the parts before it are shared.
    If all routers prefer the same upstream for a shared prefix, one upstream caches it.
    The caller passes the candidates of its own data centre, if there are any, so that
    few prompts and responses leave the data centre.
    """
    if len(call.parts) < 2:
        return None
    shared = call.parts[-2]
    return max(candidates, key=lambda c: home_rank(shared, c.upstream), default=None)


def is_silent(
    load: upstream_load.UpstreamLoad, now: float, uninterrupted_s: float
) -> bool:
    """Returns whether an upstream has requests but has sent nothing for a while.

    Args:
        load: The requests there.
        now: The time, in seconds.
        uninterrupted_s: How long the router has run without interruption, in seconds.
            Data that arrived during an interruption has not been read yet, so silence
            proves nothing shortly after one.
    """
    return min(uninterrupted_s, load.find_silent_s(now)) > SILENCE_S


def has_gone_dark(
    load: upstream_load.UpstreamLoad, now: float, uninterrupted_s: float
) -> bool:
    """Returns whether an upstream has been silent for longer than a sound one may be.

    Args:
        load: The requests there.
        now: The time, in seconds.
        uninterrupted_s: How long the router has run without interruption, in seconds.
    """
    return min(uninterrupted_s, load.find_silent_s(now)) > MAX_SILENCE_S


def should_pass_over(candidate: Candidate, now: float, uninterrupted_s: float) -> bool:
    """Returns whether an upstream should get no new requests.

    One that is silent gets none until it sends something. One that has gone dark is
    avoided for some time from now on.

    Args:
        candidate: The upstream.
        now: The time, in seconds.
        uninterrupted_s: How long the router has run without interruption, in seconds.
    """
    if has_gone_dark(candidate.load, now, uninterrupted_s):
        candidate.health.avoid(now, "silent")
        return True
    if is_silent(candidate.load, now, uninterrupted_s):
        return True
    return candidate.health.is_avoided(now)


def _score_plain(
    candidate: Candidate, data_centre: ids.DataCentre, now: float
) -> float:
    """Returns the cost of one more call, in requests of the usual duration."""
    distance = candidate.upstream.data_centre != data_centre
    requests = (candidate.load.count(now) + 1) * candidate.speed.find_slowdown(now)
    score = requests + DISTANCE_REQUESTS * distance
    per_s = candidate.find_limit_per_s(now)
    if per_s is not None:
        score += candidate.predict_permit_wait_s(now) * per_s
    return score


def _choose_engine(
    call: calls.Call,
    candidates: list[Candidate],
    data_centre: ids.DataCentre,
    now: float,
    unreported_tokens: float,
    saves_permits: bool,
) -> Choice:
    """Returns the engine where the least time passes before the response starts.

    Routers that all see the same idle engine would all choose it. So each score gets a
    random part of the time that the load takes which the router cannot know yet.
    """
    cached_tokens = [c.prefix_cache.count_cached_tokens(call.parts) for c in candidates]
    most = max(cached_tokens)
    holder = candidates[cached_tokens.index(most)]
    shared = sum(part.tokens for part in call.parts[:-1])
    near = [c for c in candidates if c.upstream.data_centre == data_centre]
    home = None if most >= shared else find_home(call, near or candidates)
    rates = [c.queue.find_compared_rate(now) for c in candidates]
    spread_s = unreported_tokens / sum(rates)
    best = None
    for candidate, cached, rate in zip(candidates, cached_tokens, rates, strict=True):
        fetched = most - cached
        if fetched < MIN_FETCHED_TOKENS:
            fetched = 0
        if candidate is home and not fetched:
            cached = max(cached, int(HOME_RATIO * shared))
        prefill_tokens = max(0, call.prompt_tokens - cached - fetched)
        score = (prefill_tokens + FETCH_RATIO * fetched) / rate
        score += spread_s * random.random()
        score += _score_engine(candidate, prefill_tokens, rate, now)
        score += _score_permit(candidate, prefill_tokens, rate, now, saves_permits)
        if candidate.upstream.data_centre != data_centre:
            score += DISTANCE_S
        if best is None or score < best.score:
            fetch_from = holder.upstream if fetched else None
            best = Choice(candidate, prefill_tokens, score, fetch_from)
    return best


def _score_engine(
    candidate: Candidate, prefill_tokens: int, rate: float, now: float
) -> float:
    """Returns the cost of an engine's load for one more prompt, in seconds.

    It includes the delay that a long prompt causes to the responses that run there.

    Args:
        candidate: The engine.
        prefill_tokens: How many tokens of the prompt it would have to prefill.
        rate: The rate by which it is compared, in tokens a second.
        now: The time, in seconds.
    """
    is_long = prefill_tokens >= LONG_PROMPT_TOKENS
    tokens_per_request = TOKENS_PER_DELAYED if is_long else TOKENS_PER_REQUEST
    requests = candidate.load.count(now)
    tokens = candidate.queue.count_planned(now) + tokens_per_request * requests
    score = tokens / rate
    if requests >= candidate.upstream.slots:
        score += candidate.predict_slot_wait_s(now)
    return score


def _score_permit(
    candidate: Candidate,
    prefill_tokens: int,
    rate: float,
    now: float,
    saves_permits: bool,
) -> float:
    """Returns the cost of a permit of a limited engine, in seconds.

    A permit allows one request of any size. A small prompt leaves a part of what the
    engine could do unused, so it rather goes to an engine without a limit.

    Args:
        candidate: The engine.
        prefill_tokens: How many tokens of the prompt it would have to prefill.
        rate: The rate by which it is compared, in tokens a second.
        now: The time, in seconds.
        saves_permits: Whether a small prompt costs more.
    """
    per_s = candidate.find_limit_per_s(now)
    if per_s is None:
        return 0.0
    wait_s = candidate.predict_permit_wait_s(now)
    if not saves_permits:
        return wait_s
    possible_tokens = engine_queue.PREFILL_RATIO * rate / max(per_s, MIN_PER_S)
    unused_tokens = max(0.0, possible_tokens - prefill_tokens)
    return wait_s + min(unused_tokens / rate, MAX_PERMIT_COST_S)


def home_rank(part: calls.PromptPart, upstream: upstream_list.Upstream) -> int:
    """Returns the rendezvous hash of an upstream for a prompt part.

    All routers compute the same rank.
    """
    return rendezvous.find_rank(part.id, f"{upstream.id}/{upstream.born_ms}")
