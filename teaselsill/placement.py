"""Chooses the upstream for a request, by what each is known to hold and to do."""

import dataclasses
import hashlib
import math
import random

from teaselsill import (
    calls,
    engine_queue,
    ids,
    prefix_cache_index,
    slot_wait,
    upstream_health,
    upstream_list,
    upstream_load,
)

TOKENS_PER_REQUEST = 300
"""What another running request slows a prompt down, in prompt tokens."""
LONG_PROMPT_TOKENS = 16_000
"""Reading so many tokens holds up the events of all answers that run there."""
TOKENS_PER_HELD_UP = 3_000
"""What each answer costs that a long prompt holds up, in prompt tokens."""
HOME_RATIO = 0.9
"""The part of a prompt's shared tokens that its home upstream is taken to hold."""
FETCH_RATIO = 0.1
"""What copying a kept token to another engine costs, relative to reading it."""
LEAST_FETCHED_TOKENS = 64
DISTANCE_REQUESTS = 0.5
"""What another data centre costs a plain call, in running requests."""
DISTANCE_TOKENS = 2000
"""What another data centre costs a prompt and its answer, in prompt tokens."""
SILENCE_S = 0.8
"""An upstream that has work and sends nothing for so long is avoided."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """What a router knows of one upstream.

    Attributes:
        upstream: The upstream.
        load: The work there.
        prefix_cache: What it keeps of prompts.
        queue: The prompts that it has still to read.
        health: How it has answered.
        hold_time: How long requests hold a slot at the upstreams of its service.
    """

    upstream: upstream_list.Upstream
    load: upstream_load.UpstreamLoad
    prefix_cache: prefix_cache_index.PrefixCacheIndex
    queue: engine_queue.EngineQueue
    health: upstream_health.UpstreamHealth
    hold_time: slot_wait.HoldTime = dataclasses.field(
        default_factory=slot_wait.HoldTime
    )

    def predict_slot_wait_s(self, now: float) -> float:
        """Returns how long one more request waits there for a free slot, in seconds."""
        requests = self.load.count(now)
        return self.hold_time.predict_wait_s(requests, self.upstream.slots)

    def predict_wait_s(self, now: float) -> float:
        """Returns how long a prompt waits there before it is read, in seconds.

        The prompts before it are read while it waits for a slot.
        """
        return max(self.queue.predict_wait_s(now), self.predict_slot_wait_s(now))


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes.

    Attributes:
        candidate: The upstream.
        unread_tokens: How many prompt tokens it has to read for the request.
        score: What was compared, in prompt tokens; the least wins.
        fetch_from: Another upstream that keeps more of the prompt and can copy it to
            the chosen one, or none.
    """

    candidate: Candidate
    unread_tokens: int
    score: float
    fetch_from: upstream_list.Upstream | None = None


def choose(
    call: calls.Call,
    candidates: list[Candidate],
    data_centre: ids.DataCentre,
    now: float,
    unseen_tokens: float = 0.0,
    uninterrupted_s: float = math.inf,
) -> Choice | None:
    """Returns the best upstream for a request, or none if there is none.

    Upstreams that fail or are silent are avoided unless there is no other. One that
    wants a pause gets nothing.

    Args:
        call: The request.
        candidates: The upstreams that may get it.
        data_centre: Where the router runs.
        now: The time, in seconds.
        unseen_tokens: How many prompt tokens other routers are guessed to have sent to
            engines without having told of it yet.
        uninterrupted_s: How long the router has run without a standstill, in seconds.
    """
    candidates = [c for c in candidates if not c.health.find_pause_left_s(now)]
    if not candidates:
        return None
    sound = [
        c for c in candidates if not is_doubtful(c, now, uninterrupted_s)
    ] or candidates
    random.shuffle(sound)
    if call.parts:
        spread = unseen_tokens / len(sound)
        return _choose_engine(call, sound, data_centre, now, spread)
    scores = [_score_plain(c, data_centre, now) for c in sound]
    least = min(scores)
    return Choice(sound[scores.index(least)], 0, least)


def find_home(call: calls.Call, candidates: list[Candidate]) -> Candidate | None:
    """Returns the upstream that routers take for the home of a shared prompt.

    The last part of a prompt is the request's own. What comes before is shared, and
    is kept by one upstream if all routers prefer the same one for it. The routers of a
    data centre have a home there, so that few prompts and answers leave it.
    """
    if len(call.parts) < 2:
        return None
    shared = call.parts[-2]
    return max(candidates, key=lambda c: home_rank(shared, c.upstream), default=None)


def is_silent(
    load: upstream_load.UpstreamLoad, now: float, uninterrupted_s: float
) -> bool:
    """Tells whether an upstream has work and sends nothing for too long.

    Args:
        load: The work there.
        now: The time, in seconds.
        uninterrupted_s: How long the router has run without interruption, in seconds.
            Data that arrived during an interruption has not been read yet, so silence
            proves nothing shortly after one.
    """
    return uninterrupted_s > SILENCE_S and load.is_silent(now, SILENCE_S)


def is_doubtful(candidate: Candidate, now: float, uninterrupted_s: float) -> bool:
    """Tells whether an upstream is better avoided.

    Args:
        candidate: The upstream.
        now: The time, in seconds.
        uninterrupted_s: How long the router has run without a standstill, in seconds.
    """
    if is_silent(candidate.load, now, uninterrupted_s):
        candidate.health.avoid(now, "silent")
        return True
    return candidate.health.is_avoided(now)


def _score_plain(
    candidate: Candidate, data_centre: ids.DataCentre, now: float
) -> float:
    distance = candidate.upstream.data_centre != data_centre
    return candidate.load.count(now) + DISTANCE_REQUESTS * distance


def _choose_engine(
    call: calls.Call,
    candidates: list[Candidate],
    data_centre: ids.DataCentre,
    now: float,
    spread: float,
) -> Choice:
    """Returns the engine that has the least to read before the answer begins.

    Routers that all see the same engine idle would all choose it. So what each cannot
    know of an engine is drawn at random, up to the spread in tokens.
    """
    held_tokens = [c.prefix_cache.count_cached_tokens(call.parts) for c in candidates]
    most = max(held_tokens)
    holder = candidates[held_tokens.index(most)]
    shared = sum(part.tokens for part in call.parts[:-1])
    near = [c for c in candidates if c.upstream.data_centre == data_centre]
    home = None if most >= shared else find_home(call, near or candidates)
    best = None
    for candidate, held in zip(candidates, held_tokens, strict=True):
        fetched = most - held
        if fetched < LEAST_FETCHED_TOKENS:
            fetched = 0
        if candidate is home and not fetched:
            held = max(held, int(HOME_RATIO * shared))
        unread = max(0, call.prompt_tokens - held - fetched)
        score = unread + FETCH_RATIO * fetched + spread * random.random()
        score += _score_engine(candidate, unread, now)
        if candidate.upstream.data_centre != data_centre:
            score += DISTANCE_TOKENS
        if best is None or score < best.score:
            fetch_from = holder.upstream if fetched else None
            best = Choice(candidate, unread, score, fetch_from)
    return best


def _score_engine(candidate: Candidate, unread: int, now: float) -> float:
    """Returns what the work at an engine costs one more prompt, and the prompt it.

    Args:
        candidate: The engine.
        unread: How many tokens of the prompt it would have to read.
        now: The time, in seconds.
    """
    is_long = unread >= LONG_PROMPT_TOKENS
    tokens_per_request = TOKENS_PER_HELD_UP if is_long else TOKENS_PER_REQUEST
    requests = candidate.load.count(now)
    slot_wait_tokens = candidate.predict_slot_wait_s(now) * candidate.queue.rate
    planned = candidate.queue.count_planned(now)
    return planned + tokens_per_request * requests + slot_wait_tokens


def home_rank(part: calls.PromptPart, upstream: upstream_list.Upstream) -> int:
    """Returns an upstream's rank for a prompt part, which all routers agree on."""
    text = f"{part.id}/{upstream.id}/{upstream.born_ms}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
