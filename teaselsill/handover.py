"""Gets the configuration from an agent while the log service is unavailable."""

import asyncio
import logging
import random

from teaselsill import errors, instances, link, messages, peer_tls

LOG_WAIT_S = 0.5
"""How long to wait for the log service before each request to an agent."""
REQUEST_TIMEOUT_S = 1.0
"""The timeout of the request to one agent."""

logger = logging.getLogger(__name__)


async def fetch_until_ready(node, tls_section=None) -> None:
    """Requests the configuration from random agents until this process has one.

    Args:
        node: The process, with its identity, secret, membership and follower.
        tls_section: The settings of TLS between peers, or none.
    """
    tls = peer_tls.make_client_context(tls_section)
    while True:
        await asyncio.sleep(LOG_WAIT_S * random.uniform(0.5, 1.0))
        if node.follower.is_ready and node.follower.document is not None:
            return
        agents = _list_other_agents(node)
        if not agents:
            continue
        try:
            await _request_from(node, random.choice(agents), tls)
        except (errors.TeaselsillError, TimeoutError) as error:
            logger.info("no configuration from a peer: %s", error)


def _list_other_agents(node) -> list[instances.Instance]:
    return [
        instance
        for instance in node.membership.by_id.values()
        if instance.role is instances.Role.AGENT
        and instance.id != node.identity.instance
    ]


async def _request_from(node, agent: instances.Instance, tls) -> None:
    connected = await link.connect(
        agent.host, agent.port, node.secret, node.identity, tls
    )
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            connected.send(messages.DocumentWanted())
            await _apply_handover(node, connected)
    finally:
        connected.abort()


async def _apply_handover(node, connected: link.Link) -> None:
    while True:
        received = await connected.receive(lambda: True, lambda: node.follower.version)
        for message in received:
            if isinstance(message, messages.DocumentHandover):
                node.follower.apply_from_peer(message.version, message.document)
                return
