"""The two deployments of today, as small fleets of stand-ins."""

import dataclasses
import hashlib
import json


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShape:
    """One service of a deployment.

    Attributes:
        name: The service's name.
        kind: The upstream plug-in: `completions` or `plain`.
        upstreams: How many upstreams it has.
        slots: How many requests one upstream runs at a time.
    """

    name: str
    kind: str
    upstreams: int
    slots: int = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """A deployment.

    Attributes:
        data_centres: The names of its data centres.
        services: Its services.
        routers: How many routers it has.
        accounts: How many client accounts it has; the first few are large.
    """

    data_centres: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    routers: int = 3
    accounts: int = 16

    def service_of_kind(self, kind: str) -> ServiceShape:
        """Returns the first service of a kind."""
        return next(service for service in self.services if service.kind == kind)


CARONI = Shape(
    ("chaguanas", "couva", "freeport", "claxton"),
    (
        ServiceShape("assistant-pool", "completions", 5),
        ServiceShape("ops-desk", "plain", 4),
    ),
)
VIKARBRO = Shape(
    ("oslo-a", "oslo-b", "oslo-c"),
    (
        ServiceShape("sill-servers", "completions", 5),
        ServiceShape("booking-app", "plain", 3),
    ),
)
SHAPE_BY_NAME = {"caroni": CARONI, "vikarbro": VIKARBRO}

ORDERS_PATH = "/orders/*"
"""The calls of the plain services that may not be repeated."""
LARGE_ACCOUNTS = 3
LARGE_SHARE = 4
UNREPEATABLE_METHODS = ["POST", "DELETE"]


def account_name(number: int) -> str:
    """Returns the id of a client account, counted from 0."""
    return f"account-{number:02}"


def api_key(account: str) -> str:
    """Returns the API key of a client account in demos and tests."""
    return f"key-of-{account}"


def make_document(shape: Shape, deadline_s: float = 30.0) -> dict:
    """Returns the configuration document of a deployment, as plain JSON values."""
    return {
        "client_accounts": [
            {
                "id": account_name(number),
                "share": LARGE_SHARE if number < LARGE_ACCOUNTS else 1,
                "key_hashes": [hash_key(api_key(account_name(number)))],
                "services": [service.name for service in shape.services],
            }
            for number in range(shape.accounts)
        ],
        "services": [_make_service(service, deadline_s) for service in shape.services],
        "credits": [
            {
                "id": f"{service.name}-2027",
                "service": service.name,
                "amount": 1_000_000,
                "lapses": "2027-03-31",
            }
            for service in shape.services
        ],
    }


def model_name(service: ServiceShape) -> str:
    """Returns the model that a completions service serves."""
    return f"{service.name}-model"


def hash_key(key: str) -> str:
    """Returns the form in which the document holds an API key."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def to_json(document: dict) -> bytes:
    """Returns a document as text."""
    return json.dumps(document, indent=2).encode()


def _make_service(service: ServiceShape, deadline_s: float) -> dict:
    made = {
        "name": service.name,
        "kind": service.kind,
        "slots": service.slots,
        "deadline_s": deadline_s,
        "stall_s": 2.0,
    }
    if service.kind == "completions":
        return made | {"models": [model_name(service)], "expected_cost": 60}
    rule = {"methods": UNREPEATABLE_METHODS, "path": ORDERS_PATH}
    return made | {"unrepeatable": [rule], "expected_cost": 20}
