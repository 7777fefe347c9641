"""The configuration document: accounts, services, credits and leaving upstreams."""

import collections
import datetime
import enum
import fnmatch
import functools
import hashlib
import typing
import urllib.parse

import pydantic

from teaselsill import errors, ids, settings

Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
]
KeyHash = typing.Annotated[str, pydantic.Field(pattern=r"^sha256:[0-9a-f]{64}$")]


class DocumentError(errors.ConfigurationError):
    """The document is invalid.

    Attributes:
        faults: One line per error, each starting with its path in the document.
    """

    def __init__(self, faults):
        super().__init__("\n".join(faults))
        self.faults = list(faults)


class ServiceKind(enum.Enum):
    """The plug-in that connects to the upstreams of a service."""

    COMPLETIONS = "completions"
    PLAIN = "plain"


class Fencing(enum.Enum):
    """Whether a service's upstreams reject requests with an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


class ClientAccount(settings.Section):
    """A client account: its share, its API keys and what it may use.

    Attributes:
        id: Its id.
        share: Its weight in the fair division of a service's capacity.
        key_hashes: The SHA-256 hashes of its API keys, as `sha256:` and hex digits.
        services: The services that it may use.
        upstreams: The only upstreams that it may use; all if empty.
        max_waiting: How many of its requests may wait per service in one router.
    """

    id: Name
    share: float = pydantic.Field(gt=0, le=1_000_000)
    key_hashes: list[KeyHash] = []
    services: list[Name]
    upstreams: list[Name] = []
    max_waiting: int = pydantic.Field(default=256, ge=1)


class Unrepeatable(settings.Section):
    """A rule that matches requests that may run at most once.

    Attributes:
        methods: The HTTP methods that the rule covers.
        path: A pattern for the path at the service; `*` matches any characters.
    """

    methods: list[str] = pydantic.Field(min_length=1)
    path: str = "*"

    def covers(self, method: str, paths: set[str]) -> bool:
        """Returns whether the rule covers a method with any of the paths."""
        methods = {name.upper() for name in self.methods}
        return method.upper() in methods and any(
            fnmatch.fnmatchcase(path, self.path) for path in paths
        )


class Target(settings.Section):
    """A service-level target.

    Attributes:
        within_s: The time within which a request should be answered, in seconds.
        ratio: The fraction of requests that should meet it, from 0 to 1.
    """

    within_s: float = pydantic.Field(gt=0)
    ratio: float = pydantic.Field(gt=0, lt=1)


class Service(settings.Section):
    """A service: a group of interchangeable upstreams and how to use them.

    Attributes:
        name: Its name.
        kind: The plug-in that connects to its upstreams.
        models: The models that a completions service serves.
        slots: How many requests one upstream runs concurrently.
        deadline_s: The time limit of a request, in seconds.
        stall_s: The longest pause within a streamed response, in seconds.
        unrepeatable: The rules for requests that may run at most once.
        fencing: Whether its upstreams check fencing numbers.
        input_weight: The cost of an input token that is not cached.
        output_weight: The cost of an output token.
        expected_cost: The initial estimate of the cost of a request, in tokens, or
            in milliseconds for a plain service.
        target: The service-level target.
    """

    name: Name
    kind: ServiceKind
    models: list[str] = []
    slots: int = pydantic.Field(default=8, ge=1, le=4096)
    deadline_s: float = pydantic.Field(default=60.0, gt=0, le=3600)
    stall_s: float = pydantic.Field(default=5.0, gt=0)
    unrepeatable: list[Unrepeatable] = []
    fencing: Fencing = Fencing.IGNORED
    input_weight: float = pydantic.Field(default=1.0, ge=0)
    output_weight: float = pydantic.Field(default=1.0, ge=0)
    expected_cost: float = pydantic.Field(default=200.0, gt=0)
    target: Target = Target(within_s=5.0, ratio=0.95)

    def is_repeatable(self, method: str, path: str) -> bool:
        """Returns whether a request may run more than once.

        Args:
            method: The HTTP method.
            path: The path as the caller wrote it, without the query.
        """
        paths = _find_equivalent_paths(path)
        return not any(rule.covers(method, paths) for rule in self.unrepeatable)


class Credits(settings.Section):
    """Prepaid capacity that lapses on a given day.

    Attributes:
        id: The name of the purchase.
        service: The service that the purchase is for.
        upstreams: The upstreams that the purchase covers; all if empty.
        amount: The purchased capacity, in the service's unit of cost.
        lapses: The last day on which the credits can be spent.
    """

    id: Name
    service: Name
    upstreams: list[Name] = []
    amount: float = pydantic.Field(gt=0)
    lapses: datetime.date


class Document(settings.Section):
    """The configuration that operators publish.

    Attributes:
        client_accounts: The accounts that may send requests.
        services: The services that they can use.
        credits: The prepaid capacity.
        leaving_upstreams: The upstreams that get no new requests.
    """

    client_accounts: list[ClientAccount]
    services: list[Service]
    credits: list[Credits] = []
    leaving_upstreams: list[Name] = []

    @functools.cached_property
    def account_by_id(self) -> dict[ids.AccountId, ClientAccount]:
        """The client accounts by their id."""
        return {ids.AccountId(account.id): account for account in self.client_accounts}

    @functools.cached_property
    def account_by_key_hash(self) -> dict[str, ClientAccount]:
        """The client accounts by the hashes of their API keys."""
        return {
            key_hash: account
            for account in self.client_accounts
            for key_hash in account.key_hashes
        }

    @functools.cached_property
    def service_by_name(self) -> dict[ids.ServiceName, Service]:
        """The services by their name."""
        return {ids.ServiceName(service.name): service for service in self.services}

    @functools.cached_property
    def service_by_model(self) -> dict[str, Service]:
        """The completions services by the models that they serve."""
        return {model: service for service in self.services for model in service.models}

    def allows(
        self,
        account_id: ids.AccountId,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
    ) -> bool:
        """Returns whether a client account may use an upstream of a service."""
        account = self.account_by_id.get(account_id)
        if account is None or service not in account.services:
            return False
        return not account.upstreams or upstream in account.upstreams


def _find_equivalent_paths(path: str) -> set[str]:
    """Returns the forms of a path that a service may treat as the same.

    Services undo percent-encoding, and many also remove dot segments and empty
    segments. A rule is checked against all forms, so that no spelling evades it.
    """
    decoded = urllib.parse.unquote(path, errors="surrogateescape")
    return {path, decoded, _remove_dot_segments(path), _remove_dot_segments(decoded)}


def _remove_dot_segments(path: str) -> str:
    """Returns a path without dot segments and empty segments, resolving `..`."""
    segments = []
    for segment in path.split("/"):
        if segment == "..":
            del segments[-1:]
        elif segment not in ("", "."):
            segments.append(segment)
    end = "/" if segments and path.endswith("/") else ""
    return "/" + "/".join(segments) + end


def hash_key(key: str) -> str:
    """Returns an API key in the hashed form that the document contains."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def parse(text: bytes) -> Document:
    """Parses and validates a document.

    Raises:
        DocumentError: The document is invalid; the exception lists all errors.
    """
    try:
        document = Document.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise DocumentError(settings.describe_faults(error)) from error
    faults = list(_find_faults(document))
    if faults:
        raise DocumentError(faults)
    return document


def _find_faults(document: Document) -> typing.Iterator[str]:
    yield from _find_duplicates(
        "client_accounts", "id", [account.id for account in document.client_accounts]
    )
    yield from _find_duplicates("services", "name", [s.name for s in document.services])
    yield from _find_duplicates("credits", "id", [c.id for c in document.credits])
    yield from _find_duplicates(
        "services", "models", [m for s in document.services for m in s.models]
    )
    yield from _find_duplicates(
        "client_accounts",
        "key_hashes",
        [key for account in document.client_accounts for key in account.key_hashes],
    )
    yield from _find_unknown_services(document)


def _find_duplicates(path: str, field: str, values: list[str]) -> typing.Iterator[str]:
    for value, count in collections.Counter(values).items():
        if count > 1:
            yield f"{path}: {field} {value!r} stands {count} times"


def _find_unknown_services(document: Document) -> typing.Iterator[str]:
    service_names = {service.name for service in document.services}
    for number, account in enumerate(document.client_accounts):
        for position, name in enumerate(account.services):
            if name not in service_names:
                path = f"client_accounts[{number}].services[{position}]"
                yield f"{path}: unknown service {name!r}"
    for number, purchase in enumerate(document.credits):
        if purchase.service not in service_names:
            yield f"credits[{number}].service: unknown service {purchase.service!r}"
