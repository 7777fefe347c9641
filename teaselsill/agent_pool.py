"""A router's waiting requests of one service, and the agents that are told of them."""

import datetime
import hashlib
import time

from teaselsill import agent_peer, backlog, document, ids, instances, lapses

EXPAND_AFTER_S = 0.1
"""While the oldest request waits longer, more agents are told, in doubling steps."""
SHRINK_AFTER_S = 10.0
"""So long after the last such step the connections that it opened are closed."""
IDLE_CLOSE_S = 60.0
"""A service without requests for this long loses its connections."""
NO_AGENT_TIMEOUT_S = 3.0
"""How long requests wait while no agent of their service can be reached."""
LAPSING_AGENTS = 2
"""How many of the agents whose credits lapse first are always told."""


class NoAgentError(backlog.RefusedError):
    """No agent of the service can be reached."""


class AgentPool:
    """The waiting requests of one service and the agents that are told of them.

    Attributes:
        backlog: The waiting requests.
        peer_by_agent: The connected agents, by instance id.
        last_used_at: When the last request came, on the monotonic clock, in seconds.
        is_expanded: Whether a past backlog may have opened connections that are left.

    Args:
        router: The router that the requests wait in.
        name: The service.
    """

    def __init__(self, router, name: ids.ServiceName):
        self.backlog = backlog.Backlog()
        self.peer_by_agent: dict[ids.InstanceId, agent_peer.AgentPeer] = {}
        self.last_used_at = time.monotonic()
        self._router = router
        self._name = name
        self._width = router.agents_per_service
        self._widened_at = 0.0
        self.is_expanded = False
        self._reached_at = time.monotonic()

    def schedule_demand_updates(self, _peer=None) -> None:
        """Has the agents told of what has changed in the backlog."""
        for peer in self.peer_by_agent.values():
            peer.schedule_demand_update()

    def refresh(self) -> None:
        """Opens the connections that are wanted now and closes the others."""
        listed = {a.id: a for a in self._router.membership.agents_of(self._name)}
        self._drop_unlisted(listed)
        self._adapt_width(len(listed))
        chosen = {agent.id: agent for agent in self._choose(listed)}
        for agent in chosen.values():
            if agent.id not in self.peer_by_agent:
                self.peer_by_agent[agent.id] = self._router.open_peer(agent, self)
        self._close_surplus(chosen)
        self._rank_peers()
        self._refuse_if_out_of_reach()

    def is_idle(self) -> bool:
        """Tells whether the connections of this service can be closed."""
        busy = len(self.backlog) or any(p.is_busy for p in self.peer_by_agent.values())
        return not busy and time.monotonic() - self.last_used_at > IDLE_CLOSE_S

    def close(self) -> None:
        """Closes all connections."""
        for peer in self.peer_by_agent.values():
            self._router.spawn(peer.close())
        self.peer_by_agent.clear()

    def _refuse_if_out_of_reach(self) -> None:
        """Refuses what waits once no agent has been in reach for a while."""
        now = time.monotonic()
        peers = self.peer_by_agent.values()
        if any(peer.state is agent_peer.State.CONNECTED for peer in peers):
            self._reached_at = now
        waited_s = min(now - self._reached_at, self.backlog.oldest_wait_s())
        if waited_s < NO_AGENT_TIMEOUT_S:
            return
        for waiting in self.backlog.pop_all():
            text = f"no agent of {self._name} is in reach"
            waiting.assignment.set_exception(NoAgentError(text, NO_AGENT_TIMEOUT_S))

    def _close_surplus(self, chosen) -> None:
        """Closes the connections that a past backlog has opened."""
        if time.monotonic() - self._widened_at < SHRINK_AFTER_S:
            return
        self.is_expanded = False
        for agent_id, peer in list(self.peer_by_agent.items()):
            is_spare = peer.state is agent_peer.State.CONNECTED and not peer.is_busy
            if is_spare and agent_id not in chosen:
                self._router.spawn(peer.close())
                del self.peer_by_agent[agent_id]
            elif agent_id not in chosen and peer.is_busy:
                self.is_expanded = True

    def _drop_unlisted(self, listed) -> None:
        """Gives no new work to agents that are not listed as live, and drops them."""
        for agent_id, peer in list(self.peer_by_agent.items()):
            found = listed.get(agent_id)
            if found is not None and _is_at_same_address(found, peer.agent):
                peer.agent = found
                peer.is_draining = self._is_leaving(found)
                continue
            peer.is_draining = True
            if not peer.exchange_by_attempt:
                self._router.spawn(peer.close())
                del self.peer_by_agent[agent_id]

    def _adapt_width(self, listed_count: int) -> None:
        now = time.monotonic()
        if not len(self.backlog):
            self._width = self._router.agents_per_service
            return
        stepped_s = now - self._widened_at
        if self.backlog.oldest_wait_s() > EXPAND_AFTER_S and stepped_s > EXPAND_AFTER_S:
            self._width = min(self._width * 2, max(1, listed_count))
            self._widened_at = now
            self.is_expanded = True

    def _choose(self, listed) -> list[instances.Instance]:
        """Returns the first agents in this router's own order, for each account."""
        usable = [agent for agent in listed.values() if self._is_usable(agent)]
        usable.sort(
            key=lambda agent: _order_of(self._router.identity.instance, agent.id)
        )
        chosen = {agent.id: agent for agent in usable[: self._width]}
        for agent in self._lapsing_first(usable)[:LAPSING_AGENTS]:
            chosen[agent.id] = agent
        for account in self._restricted_accounts():
            allowed = [a for a in usable if a.upstream in account.upstreams]
            chosen |= {agent.id: agent for agent in allowed[: self._width]}
        return list(chosen.values())

    def _lapsing_first(self, usable) -> list[instances.Instance]:
        """Returns the agents in the order in which their credits lapse."""
        known = self._router.follower.document
        today = datetime.datetime.now(datetime.UTC).date()
        day_by_upstream = {
            agent.upstream: lapses.next_lapse_day(
                known, self._name, agent.upstream, today
            )
            for agent in usable
        }
        return sorted(usable, key=lambda agent: day_by_upstream[agent.upstream])

    def _rank_peers(self) -> None:
        """Has agents whose credits lapse sooner told of waiting work sooner."""
        known = self._router.follower.document
        today = datetime.datetime.now(datetime.UTC).date()
        upstreams = [peer.agent.upstream for peer in self.peer_by_agent.values()]
        for peer in self.peer_by_agent.values():
            peer.rank = lapses.lapse_rank(
                known, self._name, peer.agent.upstream, upstreams, today
            )

    def _restricted_accounts(self) -> list[document.ClientAccount]:
        known = self._router.follower.document.account_by_id
        waiting = [known.get(name) for name in self.backlog.accounts]
        return [account for account in waiting if account and account.upstreams]

    def _is_leaving(self, agent: instances.Instance) -> bool:
        known = self._router.follower.document
        is_left = known is not None and agent.upstream in known.leaving_upstreams
        return is_left or agent.state is instances.InstanceState.LEAVING

    def _is_usable(self, agent: instances.Instance) -> bool:
        if self._is_leaving(agent):
            return False
        peer = self.peer_by_agent.get(agent.id)
        return peer is None or peer.state not in (
            agent_peer.State.UNREACHABLE,
            agent_peer.State.LEAVING,
        )


def _order_of(router: ids.InstanceId, agent: ids.InstanceId) -> bytes:
    """Orders the agents by rendezvous hashing, so that routers spread over them."""
    return hashlib.blake2b(f"{router}\0{agent}".encode(), digest_size=8).digest()


def _is_at_same_address(one: instances.Instance, other: instances.Instance) -> bool:
    return (one.host, one.port) == (other.host, other.port)
