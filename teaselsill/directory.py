"""The upstreams that an entry router can use, with its state for each."""

import logging

from teaselsill import (
    announcements,
    cold_start,
    engine_queue,
    evacuation,
    ids,
    placement,
    prefix_cache_index,
    routing_table,
    slot_wait,
    upstream_connection,
    upstream_health,
    upstream_list,
    upstream_load,
    upstream_speed,
)

logger = logging.getLogger(__name__)


class Directory:
    """The listed upstreams, and the router's state for each of their incarnations.

    Attributes:
        listed: The platform's list.
        evacuations: The data centres whose upstreams get no requests.
        region_by_data_centre: The region of each data centre.
        cold_states: Which upstreams are cold.
    """

    def __init__(self):
        self.listed = upstream_list.UpstreamList()
        self.evacuations = evacuation.Evacuations()
        self.region_by_data_centre: dict[ids.DataCentre, ids.Region] = {}
        self.cold_states = cold_start.ColdStates()
        self._service_by_name: dict[ids.ServiceName, routing_table.Service] = {}
        self._cold_allowance = cold_start.Allowance()
        self._returned_at_by_data_centre: dict[ids.DataCentre, float] = {}
        self._candidate_by_key: dict[
            upstream_list.UpstreamKey, placement.Candidate
        ] = {}
        self._pool_by_key: dict[
            upstream_list.UpstreamKey, upstream_connection.ConnectionPool
        ] = {}
        self._hold_time_by_service: dict[ids.ServiceName, slot_wait.HoldTime] = {}
        self._usual_rate_by_service: dict[
            ids.ServiceName, upstream_speed.UsualRate
        ] = {}
        self._address_reused: set[upstream_list.UpstreamKey] = set()
        self._is_in_use = False

    @property
    def service_by_name(self) -> dict[ids.ServiceName, routing_table.Service]:
        """The services of the configuration in force."""
        return self._service_by_name

    @service_by_name.setter
    def service_by_name(
        self, service_by_name: dict[ids.ServiceName, routing_table.Service]
    ) -> None:
        self._service_by_name = service_by_name
        self._update_cold_states()

    @property
    def cold_allowance(self) -> cold_start.Allowance:
        """What the operators let a cold upstream get."""
        return self._cold_allowance

    @cold_allowance.setter
    def cold_allowance(self, allowance: cold_start.Allowance) -> None:
        self._cold_allowance = allowance
        self._update_cold_states()

    def candidates(
        self,
        service: routing_table.Service,
        excluded: set[ids.UpstreamId],
        allowed_regions: frozenset[ids.Region] | None = None,
    ) -> list[placement.Candidate]:
        """Returns the upstreams of a service that may get a request.

        Args:
            service: The service.
            excluded: Upstreams that must not get it.
            allowed_regions: The regions to which it may be sent; None for any.
        """
        self._is_in_use = True
        self._note_returns()
        evacuated = self.evacuations.data_centres
        return [
            self._candidate(upstream)
            for upstream in self.list_allowed(service, allowed_regions)
            if upstream.id not in excluded
            and upstream.data_centre not in evacuated
            and upstream.key not in self._address_reused
        ]

    def list_allowed(
        self,
        service: routing_table.Service,
        allowed_regions: frozenset[ids.Region] | None,
    ) -> list[upstream_list.Upstream]:
        """Returns the usable upstreams of a service in the allowed regions."""
        usable = self.listed.usable(service.name)
        if allowed_regions is None:
            return usable
        return [u for u in usable if self.is_allowed(u.data_centre, allowed_regions)]

    def is_allowed(
        self,
        data_centre: ids.DataCentre,
        allowed_regions: frozenset[ids.Region] | None,
    ) -> bool:
        """Returns whether a data centre is in an allowed region.

        One whose region is unknown is in none.

        Args:
            data_centre: The data centre.
            allowed_regions: The regions; None for any.
        """
        if allowed_regions is None:
            return True
        return self.region_by_data_centre.get(data_centre) in allowed_regions

    def is_evacuated(
        self,
        service: routing_table.Service,
        allowed_regions: frozenset[ids.Region] | None = None,
    ) -> bool:
        """Returns whether all upstreams that a request may be sent to are evacuated.

        Args:
            service: The service.
            allowed_regions: The regions to which it may be sent; None for any.
        """
        allowed = self.list_allowed(service, allowed_regions)
        evacuated = self.evacuations.data_centres
        return bool(allowed) and all(u.data_centre in evacuated for u in allowed)

    def note_entry(
        self,
        upstream: upstream_list.Upstream,
        cold_left_s: float,
        age_s: float | None,
        now: float,
    ) -> None:
        """Records how long an upstream stays cold, by its entry.

        Args:
            upstream: The upstream.
            cold_left_s: The time, in seconds; 0 if it is not cold.
            age_s: See `cold_start.make_entry_statement`. What another router has read,
                that router reports itself.
            now: The event loop's time, in seconds.
        """
        statement = cold_start.make_entry_statement(cold_left_s, age_s, now)
        if statement is None:
            return
        if statement.is_cold or self.cold_states.knows(upstream.key):
            state = self._find_cold_state(upstream)
            if state.note(statement, now) and not age_s:
                self.cold_states.on_change(upstream.id)

    def note_birth(
        self,
        upstream: upstream_list.Upstream,
        age_s: float,
        now: float,
        tells: bool = True,
    ) -> None:
        """Records an upstream that appears; it is cold if requests are served by now.

        Args:
            upstream: The upstream.
            age_s: How long ago it started by its own account, in seconds.
            now: The event loop's time, in seconds.
            tells: Whether the other routers are told. What another router has read,
                that router tells them itself.
        """
        state = self._find_cold_state(upstream)
        if not self._is_in_use or state.is_cold(now):
            return
        if state.note_birth(age_s, now) and tells:
            self.cold_states.on_change(upstream.id)

    def is_usable(self, upstream: upstream_list.Upstream) -> bool:
        """Returns whether an upstream is listed and has not begun to leave."""
        listed = self.listed.by_id.get(upstream.id)
        return (
            listed is not None
            and listed.born_ms == upstream.born_ms
            and listed.state is upstream_list.State.READY
        )

    def find_pause_left_s(
        self,
        service: routing_table.Service,
        now: float,
        allowed_regions: frozenset[ids.Region] | None = None,
    ) -> float:
        """Returns how long until the first paused upstream takes requests again.

        Args:
            service: The service.
            now: The event loop's time, in seconds.
            allowed_regions: The regions to consider; None for any.

        Returns:
            The time in seconds; 0 if at least one upstream is not paused, or if none
            is listed.
        """
        return min(
            (
                c.announced.find_pause_left_s(now)
                for c in self.candidates(service, set(), allowed_regions)
            ),
            default=0.0,
        )

    def find(self, upstream_id: ids.UpstreamId) -> placement.Candidate | None:
        """Returns the candidate for an upstream.

        Returns None if the upstream is not listed or its service is not configured.
        """
        upstream = self.listed.by_id.get(upstream_id)
        if upstream is None or upstream.service not in self.service_by_name:
            return None
        return self._candidate(upstream)

    def find_limit(
        self, key: upstream_list.UpstreamKey, now: float
    ) -> announcements.Limit | None:
        """Returns the limit of an upstream in force; None if it is gone.

        Args:
            key: The upstream.
            now: The event loop's time, in seconds.
        """
        self._note_returns()
        candidate = self._candidate_by_key.get(key)
        return candidate.find_limit(now) if candidate is not None else None

    def list_cold(self, now: float) -> list[placement.Candidate]:
        """Returns the upstreams that are cold.

        Args:
            now: The event loop's time, in seconds.
        """
        candidates = [self.find(upstream) for upstream in self.listed.by_id]
        return [c for c in candidates if c is not None and c.cold.is_cold(now)]

    def list_limited(self) -> list[placement.Candidate]:
        """Returns the upstreams that limit the requests that they take."""
        return [
            candidate
            for candidate in self._candidate_by_key.values()
            if candidate.announced.limit_per_s is not None
        ]

    def sum_rates(self, now: float) -> float:
        """Returns the prefill rate of all engines in use, in tokens a second.

        It is the rate at which prompts can be sent to them.

        Args:
            now: The event loop's time, in seconds.
        """
        return sum(
            candidate.find_rate(now)
            for candidate in self._candidate_by_key.values()
            if candidate.queue.is_used
            and not self.evacuations.is_evacuated(candidate.upstream.data_centre)
        )

    def find_usable_part(self, now: float) -> float:
        """Returns which part of the engines' prefill rate can be used.

        Their limits and evacuations take some of it.

        Args:
            now: The event loop's time, in seconds.
        """
        full_rate = sum(
            candidate.queue.find_rate(now)
            for candidate in self._candidate_by_key.values()
            if candidate.queue.is_used
        )
        return self.sum_rates(now) / full_rate if full_rate else 1.0

    def summarize(self) -> dict[ids.UpstreamId, upstream_load.LoadSummary]:
        """Returns the load that this router puts on each engine in use."""
        return {
            key.upstream: candidate.load.summarize()
            for key, candidate in self._candidate_by_key.items()
            if candidate.queue.is_used
        }

    def pool(
        self, upstream: upstream_list.Upstream
    ) -> upstream_connection.ConnectionPool:
        """Returns the idle connections to an upstream."""
        return self._pool_by_key.setdefault(
            upstream.key, upstream_connection.ConnectionPool()
        )

    def count_idle_connections(self) -> int:
        """Returns the number of idle connections to upstreams."""
        return sum(pool.idle_count for pool in self._pool_by_key.values())

    def close_idle_connection(self) -> bool:
        """Closes one idle connection to an upstream; returns whether there was one."""
        return any(pool.close_one() for pool in self._pool_by_key.values())

    def note_address_reused(self, upstream: upstream_list.Upstream) -> None:
        """Excludes an upstream whose address now belongs to another instance."""
        logger.warning(
            "another instance has the address",
            extra={"upstream": upstream.id, "host": upstream.host},
        )
        self._address_reused.add(upstream.key)

    def prune(self, now: float) -> None:
        """Drops the state of upstreams that are gone and closes unused connections.

        Args:
            now: The event loop's time, in seconds.
        """
        self.listed.expire(now)
        self.evacuations.expire(now)
        keys = {upstream.key for upstream in self.listed.by_id.values()}
        for key in self._pool_by_key.keys() - keys:
            self._pool_by_key.pop(key).close()
        for key in self._candidate_by_key.keys() - keys:
            del self._candidate_by_key[key]
        self.cold_states.keep_only(keys)
        self._address_reused &= keys
        for pool in self._pool_by_key.values():
            pool.drop_stale(now)

    def expire_peer_reports(self, now: float) -> None:
        """Drops the load that other routers have not reported again in time.

        Args:
            now: The running time of this router, in seconds.
        """
        for candidate in self._candidate_by_key.values():
            candidate.load.expire_peer_reports(now)

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pool_by_key.values():
            pool.close()

    def _find_hold_time(self, service: ids.ServiceName) -> slot_wait.HoldTime:
        return self._hold_time_by_service.setdefault(service, slot_wait.HoldTime())

    def _make_speed(
        self, upstream: upstream_list.Upstream
    ) -> upstream_speed.UpstreamSpeed:
        usual_rate = self._usual_rate_by_service.setdefault(
            upstream.service, upstream_speed.UsualRate()
        )
        return upstream_speed.UpstreamSpeed(usual_rate, upstream.id)

    def _candidate(self, upstream: upstream_list.Upstream) -> placement.Candidate:
        known = self._candidate_by_key.get(upstream.key)
        if known is None:
            engine = self.service_by_name[upstream.service].engine
            capacity = engine.kv_cache_tokens if engine else 0
            known = placement.Candidate(
                upstream=upstream,
                load=upstream_load.UpstreamLoad(),
                queue=engine_queue.EngineQueue(self._make_speed(upstream)),
                prefix_cache=prefix_cache_index.PrefixCacheIndex(capacity),
                health=upstream_health.UpstreamHealth(upstream.id),
                announced=announcements.AnnouncedState(upstream.id),
                hold_time=self._find_hold_time(upstream.service),
                cold=self._find_cold_state(upstream),
            )
            self._candidate_by_key[upstream.key] = known
        known.upstream = upstream
        return known

    def _find_cold_state(
        self, upstream: upstream_list.Upstream
    ) -> cold_start.ColdState:
        state = self.cold_states.find(upstream.key)
        service = self._service_by_name.get(upstream.service)
        state.policy = service.cold_start if service is not None else None
        state.allowance = self._cold_allowance
        return state

    def _update_cold_states(self) -> None:
        """Applies what the configuration and the operators say of cold upstreams."""
        for upstream in self.listed.by_id.values():
            self._find_cold_state(upstream)

    def _note_returns(self) -> None:
        """Counts the upstreams of data centres that are taken back as cold."""
        for data_centre, ended_at in self.evacuations.list_ended():
            if self._returned_at_by_data_centre.get(data_centre) == ended_at:
                continue
            self._returned_at_by_data_centre[data_centre] = ended_at
            for upstream in self.listed.by_id.values():
                if upstream.data_centre == data_centre:
                    self._find_cold_state(upstream).note_return(ended_at)
