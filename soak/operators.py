"""Operators who publish configurations, some of them concurrently."""

import asyncio
import copy
import dataclasses
import time

import aiohttp

from standins import fleet, shapes
from teaselsill import configuration, errors, http_log

POLL_S = 0.1
MAX_ATTEMPTS = 40
RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Race:
    """The results of conflicting publications.

    Attributes:
        versions: The versions of the accepted publications.
        faults: The errors of the others.
    """

    versions: list[int]
    faults: list[str]


class Operators:
    """Publishes configurations through the log service of a fleet.

    Args:
        deployment: The fleet.
    """

    def __init__(self, deployment: fleet.Fleet):
        self._fleet = deployment

    async def race(self) -> Race:
        """Publishes two different documents at once, both based on the current one."""
        log = http_log.HttpLog(self._fleet.node_by_name["log"].url)
        try:
            current = await configuration.show(log)
            results = await asyncio.gather(
                *(
                    configuration.publish(
                        log,
                        self._make_variant(number),
                        current.version,
                        f"operator-{number}",
                    )
                    for number in range(2)
                ),
                return_exceptions=True,
            )
        except errors.TeaselsillError as error:
            return Race([], [str(error)])
        finally:
            await log.close()
        versions = [result for result in results if isinstance(result, int)]
        faults = [str(r) for r in results if isinstance(r, BaseException)]
        return Race(versions, faults)

    async def publish(self, document: dict) -> bool:
        """Publishes a document, retrying a limited number of times.

        Returns:
            Whether the document is known to be the current configuration.
        """
        log = http_log.HttpLog(self._fleet.node_by_name["log"].url)
        text = shapes.to_json(document)
        try:
            for _ in range(MAX_ATTEMPTS):
                try:
                    current = await configuration.show(log)
                    if current.text == text:
                        return True
                    await configuration.publish(log, text, current.version, "operator")
                    return True
                except errors.TeaselsillError:
                    await asyncio.sleep(RETRY_S)
        finally:
            await log.close()
        return False

    async def wait_in_force(
        self, version: int, nodes: list[fleet.Node], limit_s: float
    ) -> list[str]:
        """Waits until nodes use a version.

        Returns:
            The names of the nodes that do not use it after `limit_s`.
        """
        ends_at = time.monotonic() + limit_s
        late = list(nodes)
        while late and time.monotonic() < ends_at:
            late = [node for node in late if await self._read_version(node) < version]
            await asyncio.sleep(POLL_S)
        return [node.name for node in late]

    def _make_variant(self, number: int) -> bytes:
        document = copy.deepcopy(self._fleet.document)
        document["client_accounts"][-1]["share"] = 1 + number
        return shapes.to_json(document)

    async def _read_version(self, node: fleet.Node) -> int:
        try:
            async with asyncio.timeout(1.0):
                page = await self._fleet.get_json(f"{node.admin_url}/version")
        except (aiohttp.ClientError, TimeoutError):
            return -1
        return page["version"]
