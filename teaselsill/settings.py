"""The settings of each role, read from a JSON file with comments and validated."""

import pathlib
import typing

import json5
import pydantic

from teaselsill import errors

Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0)]


class Section(pydantic.BaseModel):
    """A section of a settings file or document; unknown keys are validation errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PluginSection(Section):
    """How to reach a service of the platform.

    Attributes:
        plugin: The name of the plug-in that implements the service's protocol.
        url: The service's URL.
    """

    plugin: str = "http"
    url: str


class TlsSection(Section):
    """The files of a TLS certificate.

    Attributes:
        certificate: The path of a PEM file with the certificate chain.
        key: The path of a PEM file with the private key.
    """

    certificate: str
    key: str


class PeerTlsSection(TlsSection):
    """The certificate files for TLS between peers.

    Attributes:
        authority: The path of a PEM file with the certificate of the authority that
            issues the certificates of all peers.
    """

    authority: str


class CommonSettings(Section):
    """The settings that every role has.

    Attributes:
        instance: The id that the platform assigned to this instance.
        data_centre: The data centre in which the instance runs.
        host: The IP address that the process listens on.
        admin_port: The port of the admin pages, separate from the port for callers.
        secret: The shared secret with which peers authenticate each other.
        log: The log service.
        instances: The instance list.
        statsd: The `host:port` of a statsd server, or empty for no metrics.
        log_level: The minimum level of the log lines that are written.
        memory_mb: How much memory the process may use, in MB; 0 for all of the
            machine's.
        max_fds: How many file descriptors the process may open; 0 for as many as the
            system allows.
    """

    instance: str = pydantic.Field(min_length=1)
    data_centre: str = pydantic.Field(min_length=1)
    host: pydantic.IPvAnyAddress = pydantic.Field(
        default="127.0.0.1", validate_default=True
    )
    admin_port: Port
    secret: str = pydantic.Field(min_length=16)
    log: PluginSection
    instances: PluginSection
    statsd: str = ""
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    memory_mb: int = pydantic.Field(default=0, ge=0)
    max_fds: int = pydantic.Field(default=0, ge=0)


class RouterSettings(CommonSettings):
    """The settings of a router.

    Attributes:
        port: The port that callers connect to.
        agents_per_service: How many agents of a service a router sends its demand to
            at first; it adds agents while requests wait too long.
        stop_delay_s: How long the router reports that it is not ready, but still
            accepts requests, before it stops.
        max_body_bytes: The largest request body, in bytes.
        tls: The certificate for the callers' port; plain HTTP if not set.
        peer_tls: The certificates for connections to agents; no TLS if not set.
    """

    port: Port
    agents_per_service: int = pydantic.Field(default=4, ge=1)
    stop_delay_s: float = pydantic.Field(default=2.0, ge=0)
    max_body_bytes: int = pydantic.Field(default=4 * 1024 * 1024, ge=1)
    tls: TlsSection | None = None
    peer_tls: PeerTlsSection | None = None


class AgentSettings(CommonSettings):
    """The settings of an agent.

    Attributes:
        port: The port that routers and other agents connect to.
        upstream: The id of the upstream that this agent serves.
        service: The service that the upstream belongs to.
        upstream_url: The upstream's URL.
        upstream_kind: The name of the plug-in that implements its protocol.
        policy: The name of the plug-in that chooses which client account gets the
            next free slot.
        peer_tls: The certificates for connections with peers; no TLS if not set.
    """

    port: Port
    upstream: str = pydantic.Field(min_length=1)
    service: str = pydantic.Field(min_length=1)
    upstream_url: str
    upstream_kind: str = "completions"
    policy: str = "spread"
    peer_tls: PeerTlsSection | None = None


class ConsoleSettings(CommonSettings):
    """The settings of a console.

    Attributes:
        port: The port that the operators' browsers connect to.
    """

    port: Port


AnySettings = typing.TypeVar("AnySettings", bound=CommonSettings)

MODEL_BY_ROLE: dict[str, type[CommonSettings]] = {
    "router": RouterSettings,
    "agent": AgentSettings,
    "console": ConsoleSettings,
}


def load(path: str, model: type[AnySettings]) -> AnySettings:
    """Reads and checks a settings file.

    Args:
        path: The file's path.
        model: The settings class of the role.

    Raises:
        SettingsError: The file cannot be read or is invalid; it lists all faults.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(path, [str(error)]) from error
    try:
        plain = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise errors.SettingsError(path, [str(error)]) from error
    except RecursionError:
        raise errors.SettingsError(path, ["nested too deeply"]) from None
    try:
        return model.model_validate(plain)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(path, describe_faults(error)) from error


def describe_faults(error: pydantic.ValidationError) -> list[str]:
    """Returns one line for each fault: the field's path and what is wrong with it."""
    return [f"{_format_path(fault['loc'])}: {fault['msg']}" for fault in error.errors()]


def _format_path(location) -> str:
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
        else:
            path += f".{part}" if path else str(part)
    return path or "document"
