"""Gets the configuration from a peer when the log service does not give it."""

import asyncio
import logging
import random

from teaselsill import errors, instances, link, messages, peer_tls

GRACE_S = 0.5
"""How long the log service is given before peers are asked."""
ASK_S = 1.0
"""How long one peer is given."""

logger = logging.getLogger(__name__)


async def fetch_until_ready(node, tls_section=None) -> None:
    """Asks one agent after the other until this process has a configuration.

    Args:
        node: The process: identity, secret, membership and follower.
        tls_section: The certificates between peers, or none.
    """
    tls = peer_tls.make_client_context(tls_section)
    while True:
        await asyncio.sleep(GRACE_S * random.uniform(0.5, 1.0))
        if node.follower.is_ready and node.follower.document is not None:
            return
        agents = _list_others(node)
        if not agents:
            continue
        try:
            await _ask(node, random.choice(agents), tls)
        except (errors.TeaselsillError, TimeoutError) as error:
            logger.info("no configuration from a peer: %s", error)


def _list_others(node) -> list[instances.Instance]:
    return [
        instance
        for instance in node.membership.by_id.values()
        if instance.role is instances.Role.AGENT
        and instance.id != node.identity.instance
    ]


async def _ask(node, agent: instances.Instance, tls) -> None:
    connected = await link.connect(
        agent.host, agent.port, node.secret, node.identity, tls
    )
    try:
        async with asyncio.timeout(ASK_S):
            connected.send(messages.DocumentWanted())
            await _take_handover(node, connected)
    finally:
        connected.abort()


async def _take_handover(node, connected: link.Link) -> None:
    while True:
        received = await connected.receive(lambda: True, lambda: node.follower.version)
        for message in received:
            if isinstance(message, messages.DocumentHandover):
                node.follower.apply_from_peer(message.version, message.document)
                return
