"""A router's connections to the agents of one service, and its waiting requests.

A router connects to a few agents of each service that has requests, chosen by
rendezvous hashing, and to more agents while requests wait long.
"""

import datetime
import hashlib
import time

from teaselsill import agent_peer, backlog, document, ids, instances, lapses

EXPAND_AFTER_S = 0.1
"""While the oldest request has waited longer, the number of agents is doubled at this
interval.
"""
SHRINK_AFTER_S = 10.0
"""How long after the last doubling the additional connections are closed."""
IDLE_CLOSE_S = 60.0
"""The connections of a service are closed after this long without requests."""
NO_AGENT_TIMEOUT_S = 3.0
"""How long requests wait while no agent of their service is connected."""
LAPSING_AGENTS = 2
"""How many of the agents whose credits lapse first are always chosen."""


class NoAgentError(backlog.RefusedError):
    """No agent of the service is connected."""


class AgentPool:
    """The agents of one service that a router connects to, and the waiting requests.

    Args:
        router: The router that the pool belongs to.
        name: The service.

    Attributes:
        backlog: The waiting requests.
        peer_by_agent: The connections to agents, by instance id.
        last_used_at: When the last request came, on the monotonic clock, in seconds.
        is_expanded: Whether additional connections of a past backlog may remain.
    """

    def __init__(self, router, name: ids.ServiceName):
        self.backlog = backlog.Backlog()
        self.peer_by_agent: dict[ids.InstanceId, agent_peer.AgentPeer] = {}
        self.last_used_at = time.monotonic()
        self._router = router
        self._name = name
        self._size = router.agents_per_service
        self._expanded_at = 0.0
        self.is_expanded = False
        self._last_connected_at = time.monotonic()

    def schedule_demand_updates(self, _peer=None) -> None:
        """Schedules the announcement of changes in the backlog to all agents."""
        for peer in self.peer_by_agent.values():
            peer.schedule_demand_update()

    def refresh(self) -> None:
        """Opens connections to the agents chosen now and closes those to others."""
        listed = {a.id: a for a in self._router.membership.agents_of(self._name)}
        self._drop_unlisted(listed)
        self._adapt_size(len(listed))
        chosen = {agent.id: agent for agent in self._choose(listed)}
        for agent in chosen.values():
            if agent.id not in self.peer_by_agent:
                self.peer_by_agent[agent.id] = self._router.open_peer(agent, self)
        self._close_surplus(chosen)
        self._rank_peers()
        self._refuse_if_disconnected()

    def is_idle(self) -> bool:
        """Returns whether the connections of this service can be closed."""
        busy = len(self.backlog) or any(p.is_busy for p in self.peer_by_agent.values())
        return not busy and time.monotonic() - self.last_used_at > IDLE_CLOSE_S

    def close(self) -> None:
        """Closes all connections."""
        for peer in self.peer_by_agent.values():
            self._router.spawn(peer.close())
        self.peer_by_agent.clear()

    def _refuse_if_disconnected(self) -> None:
        """Refuses the waiting requests if no agent was connected for a while."""
        now = time.monotonic()
        peers = self.peer_by_agent.values()
        if any(peer.state is agent_peer.State.CONNECTED for peer in peers):
            self._last_connected_at = now
        waited_s = min(now - self._last_connected_at, self.backlog.oldest_wait_s())
        if waited_s < NO_AGENT_TIMEOUT_S:
            return
        for queued in self.backlog.pop_all():
            text = f"no agent of {self._name} is in reach"
            queued.assignment.set_exception(NoAgentError(text, NO_AGENT_TIMEOUT_S))

    def _close_surplus(self, chosen) -> None:
        """Closes the additional connections that a past backlog has opened."""
        if time.monotonic() - self._expanded_at < SHRINK_AFTER_S:
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
        """Drains agents that are leaving, and drains and drops those that are gone.

        An agent is gone if the list does not have it at its address any more. It is
        dropped once it has no attempts.
        """
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

    def _adapt_size(self, listed_count: int) -> None:
        """Doubles the number of agents while requests wait long, or resets it."""
        now = time.monotonic()
        if not len(self.backlog):
            self._size = self._router.agents_per_service
            return
        unchanged_s = now - self._expanded_at
        if (
            self.backlog.oldest_wait_s() > EXPAND_AFTER_S
            and unchanged_s > EXPAND_AFTER_S
        ):
            self._size = min(self._size * 2, max(1, listed_count))
            self._expanded_at = now
            self.is_expanded = True

    def _choose(self, listed) -> list[instances.Instance]:
        """Returns the agents to connect to.

        These are the first agents in this router's order, those whose credits lapse
        first, and the first agents in that order that each restricted client account
        with waiting requests may use.
        """
        usable = [agent for agent in listed.values() if self._is_usable(agent)]
        usable.sort(
            key=lambda agent: _hash_pair(self._router.identity.instance, agent.id)
        )
        chosen = {agent.id: agent for agent in usable[: self._size]}
        for agent in self._lapsing_first(usable)[:LAPSING_AGENTS]:
            chosen[agent.id] = agent
        for account in self._restricted_accounts():
            allowed = [a for a in usable if a.upstream in account.upstreams]
            chosen |= {agent.id: agent for agent in allowed[: self._size]}
        return list(chosen.values())

    def _lapsing_first(self, usable) -> list[instances.Instance]:
        """Returns the agents in the order in which their credits lapse."""
        current_document = self._router.follower.document
        today = datetime.datetime.now(datetime.UTC).date()
        day_by_upstream = {
            agent.upstream: lapses.next_lapse_day(
                current_document, self._name, agent.upstream, today
            )
            for agent in usable
        }
        return sorted(usable, key=lambda agent: day_by_upstream[agent.upstream])

    def _rank_peers(self) -> None:
        """Ranks the agents by lapse day, the order in which they get announcements."""
        current_document = self._router.follower.document
        today = datetime.datetime.now(datetime.UTC).date()
        upstreams = [peer.agent.upstream for peer in self.peer_by_agent.values()]
        for peer in self.peer_by_agent.values():
            peer.rank = lapses.lapse_rank(
                current_document, self._name, peer.agent.upstream, upstreams, today
            )

    def _restricted_accounts(self) -> list[document.ClientAccount]:
        account_by_id = self._router.follower.document.account_by_id
        accounts = [account_by_id.get(name) for name in self.backlog.accounts]
        return [account for account in accounts if account and account.upstreams]

    def _is_leaving(self, agent: instances.Instance) -> bool:
        current_document = self._router.follower.document
        is_leaving_upstream = (
            current_document is not None
            and agent.upstream in current_document.leaving_upstreams
        )
        return is_leaving_upstream or agent.state is instances.InstanceState.LEAVING

    def _is_usable(self, agent: instances.Instance) -> bool:
        if self._is_leaving(agent):
            return False
        peer = self.peer_by_agent.get(agent.id)
        return peer is None or peer.state not in (
            agent_peer.State.UNREACHABLE,
            agent_peer.State.LEAVING,
        )


def _hash_pair(router: ids.InstanceId, agent: ids.InstanceId) -> bytes:
    """Returns the rendezvous hash that orders agents differently at each router."""
    return hashlib.blake2b(f"{router}\0{agent}".encode(), digest_size=8).digest()


def _is_at_same_address(a: instances.Instance, b: instances.Instance) -> bool:
    return (a.host, a.port) == (b.host, b.port)
