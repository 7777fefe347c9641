"""The configuration of an entry router: routes, services and API keys."""

import dataclasses
import enum
import hashlib
import math

from teaselsill import cold_start, ids


class Repeat(enum.Enum):
    """How a request that may have run can be repeated."""

    FREELY = "freely"
    """It may run any number of times."""
    NEVER = "never"
    """It may run at most once."""
    RESUME = "resume"
    """It is a stream that another upstream can resume after a given event."""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One of the services that a route's requests may go to.

    Attributes:
        service: The service.
        weight: Its part of the requests, relative to the weights of other targets.
    """

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How the requests for one host and path prefix are handled.

    Attributes:
        name: Its name.
        host: The host that callers request, in lower case, without the port.
        path_prefix: The start of the paths; begins and ends with a slash.
        targets: The services that its requests go to.
        repeat: How a request that may have run can be repeated.
        is_stream: Whether responses are streams of events.
        timeout_s: The longest time that a request may take, in seconds.
        objective_s: The latency objective, in seconds.
        pause_s: The longest pause between events that is on time, in seconds.
        max_upstreams: How many upstreams may run one request.
        priority: Its rank; 0 is the highest.
        is_public: Whether callers need no key.
        allowed_regions: The regions to which its requests may be sent; None for any.
        patience_s: Callers abandon a stream that sends nothing for so long, also before
            its first event, in seconds.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[Target, ...]
    repeat: Repeat
    is_stream: bool
    timeout_s: float
    objective_s: float
    pause_s: float
    max_upstreams: int
    priority: int
    is_public: bool
    allowed_regions: frozenset[ids.Region] | None = None
    patience_s: float = math.inf

    def choose_service(self, request: str) -> ids.ServiceName:
        """Returns the service for a request; the same one for the same id.

        Args:
            request: The id of the request.
        """
        total = sum(target.weight for target in self.targets)
        digest = hashlib.blake2b(request.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") / 2**64 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """The properties of a service's model engines.

    Attributes:
        slots: How many requests one engine runs at a time.
        kv_cache_tokens: How many tokens the KV cache of one engine holds.
    """

    slots: int
    kv_cache_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of equivalent upstreams.

    Attributes:
        name: Its name.
        health_path: The path of the health check.
        max_connections: How many connections one upstream accepts from all callers.
        engine: Set if the upstreams are model engines.
        cold_start: How its upstreams start; None if they take any load at once.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    engine: Engine | None
    cold_start: "cold_start.Policy | None" = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests and connections of callers.

    Attributes:
        head_bytes: The largest head of a request.
        body_bytes: The largest body of a request.
        head_timeout_s: How long a request may take to arrive, in seconds.
        idle_timeout_s: How long a connection may be idle, in seconds.
        tokens_per_s: The capacity of all model engines together, in tokens a second;
            a generated token counts twice. 0 if it is not known.
    """

    head_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    tokens_per_s: float = 0.0


class RoutingTable:
    """One version of the configuration.

    Args:
        version: Its version.
        routes: The routes.
        services: The services.
        account_by_key: The client accounts by their API keys; None if requests need no
            key.
        limits: Limits on the requests and connections of callers.
        allowed_regions_by_account: The regions to which the requests of client accounts
            may be sent; any for accounts that are missing.

    Attributes:
        version: Its version.
        service_by_name: The services by their name.
        account_by_key: The client accounts by their API keys.
        needs_keys: Whether requests of routes that are not public need a key.
        limits: Limits on the requests and connections of callers.
    """

    def __init__(
        self,
        version: ids.Version,
        routes: list[Route],
        services: list[Service],
        account_by_key: dict[str, ids.AccountId] | None,
        limits: Limits,
        allowed_regions_by_account: dict[ids.AccountId, frozenset[ids.Region]]
        | None = None,
    ):
        self.version = version
        self.service_by_name = {service.name: service for service in services}
        self.needs_keys = account_by_key is not None
        self.account_by_key = account_by_key or {}
        self.limits = limits
        self._allowed_regions_by_account = allowed_regions_by_account or {}
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: len(r.path_prefix), reverse=True):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix, or None.

        Args:
            host: The host that the caller requested, perhaps with a port.
            path: The path without the query.
        """
        name = host.rpartition(":")[0] if _has_port(host) else host
        for route in self._routes_by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_allowed_regions(
        self, route: Route, account: ids.AccountId | None
    ) -> frozenset[ids.Region] | None:
        """Returns the regions to which a request may be sent; None for any.

        If both the route and the client account name regions, both must allow it.
        """
        by_account = self._allowed_regions_by_account.get(account)
        if by_account is None or route.allowed_regions is None:
            return route.allowed_regions if by_account is None else by_account
        return by_account & route.allowed_regions


def _has_port(host: str) -> bool:
    return host.rpartition(":")[2].isdigit() and ":" in host
