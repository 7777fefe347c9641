"""The shapes of deployments: their data centres, services and numbers of processes."""

import dataclasses
import hashlib
import json


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShape:
    """One service of a deployment.

    Attributes:
        name: The service's name.
        kind: The upstream plug-in: `completions` or `plain`.
        upstreams: The number of its upstreams.
        slots: How many requests each upstream runs at a time.
    """

    name: str
    kind: str
    upstreams: int
    slots: int = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """The shape of a deployment.

    Attributes:
        data_centres: The names of its data centres.
        services: Its services.
        routers: The number of routers.
        accounts: The number of client accounts; the first `LARGE_ACCOUNTS` of them have
            the share `LARGE_SHARE`, the others 1.
    """

    data_centres: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    routers: int = 3
    accounts: int = 16

    def service_of_kind(self, kind: str) -> ServiceShape:
        """Returns the first service of a kind."""
        return next(service for service in self.services if service.kind == kind)


# The two existing deployments, at a small size.
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
"""The path pattern of the plain services' calls that may not be repeated."""
LARGE_ACCOUNTS = 3
LARGE_SHARE = 4
UNREPEATABLE_METHODS = ["POST", "DELETE"]


def account_name(number: int) -> str:
    """Returns the id of a client account, given its number from 0 on."""
    return f"account-{number:02}"


def api_key(account: str) -> str:
    """Returns the API key that a client account has in demos and tests."""
    return f"key-of-{account}"


def make_document(shape: Shape, deadline_s: float = 30.0) -> dict:
    """Returns a configuration document for a deployment, as plain JSON values."""
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
    """Returns the name of the model that a completions service serves."""
    return f"{service.name}-model"


def hash_key(key: str) -> str:
    """Returns the hash of an API key, as the configuration document holds it."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def to_json(document: dict) -> bytes:
    """Encodes a document as indented JSON."""
    return json.dumps(document, indent=2).encode()


def _make_service(service: ServiceShape, deadline_s: float) -> dict:
    entry = {
        "name": service.name,
        "kind": service.kind,
        "slots": service.slots,
        "deadline_s": deadline_s,
        "stall_s": 2.0,
    }
    if service.kind == "completions":
        return entry | {"models": [model_name(service)], "expected_cost": 60}
    rule = {"methods": UNREPEATABLE_METHODS, "path": ORDERS_PATH}
    return entry | {"unrepeatable": [rule], "expected_cost": 20}
