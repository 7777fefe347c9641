"""The upstreams that an entry router can reach, with what it knows of each."""

import logging

from teaselsill import (
    engine_queue,
    ids,
    placement,
    prefix_cache_index,
    routing_table,
    slot_wait,
    upstream_connection,
    upstream_health,
    upstream_list,
    upstream_load,
)

logger = logging.getLogger(__name__)

Life = tuple[ids.UpstreamId, int]
"""An upstream's id and the time of its start."""


class Directory:
    """The listed upstreams and what the router has learned of each life.

    Attributes:
        listed: The platform's list.
        service_by_name: The services, by the configuration in force.
    """

    def __init__(self):
        self.listed = upstream_list.UpstreamList()
        self.service_by_name: dict[ids.ServiceName, routing_table.Service] = {}
        self._candidate_by_life: dict[Life, placement.Candidate] = {}
        self._pool_by_life: dict[Life, upstream_connection.ConnectionPool] = {}
        self._hold_by_service: dict[ids.ServiceName, slot_wait.HoldTime] = {}
        self._misplaced: set[Life] = set()

    def candidates(
        self, service: routing_table.Service, excluded: set[ids.UpstreamId]
    ) -> list[placement.Candidate]:
        """Returns the upstreams of a service that may get a request.

        Args:
            service: The service.
            excluded: Upstreams that must not get it.
        """
        return [
            self._candidate(upstream)
            for upstream in self.listed.usable(service.name)
            if upstream.id not in excluded
            and (upstream.id, upstream.born_ms) not in self._misplaced
        ]

    def find_pause_left_s(self, service: routing_table.Service, now: float) -> float:
        """Returns how long until the first upstream of a service wants requests again.

        Args:
            service: The service.
            now: The event loop's time, in seconds.

        Returns:
            The time in seconds; 0 if an upstream wants no pause, or none is listed.
        """
        return min(
            (c.health.find_pause_left_s(now) for c in self.candidates(service, set())),
            default=0.0,
        )

    def find(self, upstream_id: ids.UpstreamId) -> placement.Candidate | None:
        """Returns what is known of an upstream, or none if it is not listed."""
        upstream = self.listed.by_id.get(upstream_id)
        if upstream is None or upstream.service not in self.service_by_name:
            return None
        return self._candidate(upstream)

    def sum_rates(self) -> float:
        """Returns how many prompt tokens all engines read in a second."""
        return sum(
            candidate.queue.rate
            for candidate in self._candidate_by_life.values()
            if candidate.queue.is_used
        )

    def summarize(self) -> dict[ids.UpstreamId, upstream_load.LoadSummary]:
        """Returns the work of this router at each engine."""
        return {
            life[0]: candidate.load.summarize()
            for life, candidate in self._candidate_by_life.items()
            if candidate.queue.is_used
        }

    def pool(
        self, upstream: upstream_list.Upstream
    ) -> upstream_connection.ConnectionPool:
        """Returns the idle connections to an upstream."""
        life = upstream.id, upstream.born_ms
        return self._pool_by_life.setdefault(life, upstream_connection.ConnectionPool())

    def note_address_reused(self, upstream: upstream_list.Upstream) -> None:
        """Takes note that an upstream's address belongs to another one now."""
        logger.warning(
            "another instance has the address",
            extra={"upstream": upstream.id, "host": upstream.host},
        )
        self._misplaced.add((upstream.id, upstream.born_ms))

    def prune(self, now: float) -> None:
        """Forgets upstreams that are gone and closes connections not used any more.

        Args:
            now: The event loop's time, in seconds.
        """
        self.listed.expire(now)
        lives = {(u.id, u.born_ms) for u in self.listed.by_id.values()}
        for life in self._pool_by_life.keys() - lives:
            self._pool_by_life.pop(life).close()
        for life in self._candidate_by_life.keys() - lives:
            del self._candidate_by_life[life]
        self._misplaced &= lives
        for pool in self._pool_by_life.values():
            pool.drop_stale(now)
        for candidate in self._candidate_by_life.values():
            candidate.load.expire_peer_reports(now)

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pool_by_life.values():
            pool.close()

    def _find_hold(self, service: ids.ServiceName) -> slot_wait.HoldTime:
        return self._hold_by_service.setdefault(service, slot_wait.HoldTime())

    def _candidate(self, upstream: upstream_list.Upstream) -> placement.Candidate:
        life = upstream.id, upstream.born_ms
        known = self._candidate_by_life.get(life)
        if known is None:
            engine = self.service_by_name[upstream.service].engine
            capacity = engine.kv_cache_tokens if engine else 0
            known = placement.Candidate(
                upstream=upstream,
                load=upstream_load.UpstreamLoad(),
                queue=engine_queue.EngineQueue(),
                prefix_cache=prefix_cache_index.PrefixCacheIndex(capacity),
                health=upstream_health.UpstreamHealth(upstream.id),
                hold_time=self._find_hold(upstream.service),
            )
            self._candidate_by_life[life] = known
        known.upstream = upstream
        return known
