"""The registry of plug-ins, which register themselves by kind and name."""

import enum
import importlib
import typing

from teaselsill import errors

BUILT_IN_MODULES = (
    "teaselsill.http_log",
    "teaselsill.http_instances",
    "teaselsill.completions",
    "teaselsill.plain",
    "teaselsill.policies",
)


class Kind(enum.Enum):
    """The interfaces that plug-ins implement."""

    LOG = "log"
    INSTANCES = "instances"
    UPSTREAM = "upstream"
    POLICY = "policy"


class UnknownPluginError(errors.TeaselsillError):
    """No plug-in of this kind is registered under the name."""


_plugin_by_name: dict[tuple[Kind, str], typing.Any] = {}


def register(kind: Kind, name: str):
    """Returns a class decorator that registers a plug-in by kind and name."""

    def decorate(plugin):
        _plugin_by_name[kind, name] = plugin
        return plugin

    return decorate


def load_built_in() -> None:
    """Imports the modules of the built-in plug-ins, which register themselves."""
    for module in BUILT_IN_MODULES:
        importlib.import_module(module)


def get(kind: Kind, name: str):
    """Returns a plug-in class.

    Raises:
        UnknownPluginError: No plug-in of this kind is registered under the name.
    """
    try:
        return _plugin_by_name[kind, name]
    except KeyError:
        known = ", ".join(names(kind)) or "none"
        raise UnknownPluginError(
            f"no {kind.value} plug-in named {name!r}; known: {known}"
        ) from None


def names(kind: Kind) -> list[str]:
    """Returns the names of the registered plug-ins of a kind, sorted."""
    return sorted(name for other, name in _plugin_by_name if other is kind)
