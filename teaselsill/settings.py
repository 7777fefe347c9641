"""The settings of each process: JSON with comments, checked as a whole."""

import pathlib
import typing

import json5
import pydantic

from teaselsill import errors

Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0)]


class Section(pydantic.BaseModel):
    """A part of the settings in which unknown keys are faults."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PluginSection(Section):
    """Where one of the platform's services is met.

    Attributes:
        plugin: The name of the plug-in that speaks to it.
        url: Its address.
    """

    plugin: str = "http"
    url: str


class TlsSection(Section):
    """The files of a certificate.

    Attributes:
        certificate: The path of a PEM file with the certificate chain.
        key: The path of a PEM file with the private key.
    """

    certificate: str
    key: str


class PeerTlsSection(TlsSection):
    """The certificate files of the peer connections.

    Attributes:
        authority: The path of a PEM file with the authority that peers are checked by.
    """

    authority: str


class CommonSettings(Section):
    """What every process is told.

    Attributes:
        instance: The name that the platform gave this instance.
        data_centre: Where the instance runs.
        host: The IP number that the process listens on.
        admin_port: The port of the admin pages, which callers do not share.
        secret: The shared secret by which peers prove themselves.
        log: The log service.
        instances: The instance list.
        statsd: The `host:port` of a statsd server, or empty for no metrics.
        log_level: The least level of the log lines that are written.
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


class RouterSettings(CommonSettings):
    """What a router is told.

    Attributes:
        port: The port that callers reach.
        agents_per_service: How many agents a router tells of its work at first.
        stop_delay_s: How long the router stays open but unready before it stops.
        max_body_bytes: The largest request body, in bytes.
        tls: The certificate towards callers.
        peer_tls: The certificates between peers.
    """

    port: Port
    agents_per_service: int = pydantic.Field(default=4, ge=1)
    stop_delay_s: float = pydantic.Field(default=2.0, ge=0)
    max_body_bytes: int = pydantic.Field(default=4 * 1024 * 1024, ge=1)
    tls: TlsSection | None = None
    peer_tls: PeerTlsSection | None = None


class AgentSettings(CommonSettings):
    """What an agent is told.

    Attributes:
        port: The port where peers connect.
        upstream: The id of the upstream beside this agent.
        service: The service that the upstream belongs to.
        upstream_url: The upstream's address.
        upstream_kind: The name of the plug-in that speaks to it.
        policy: The name of the plug-in that chooses who goes next.
        peer_tls: The certificates between peers.
    """

    port: Port
    upstream: str = pydantic.Field(min_length=1)
    service: str = pydantic.Field(min_length=1)
    upstream_url: str
    upstream_kind: str = "completions"
    policy: str = "spread"
    peer_tls: PeerTlsSection | None = None


class ConsoleSettings(CommonSettings):
    """What a console is told.

    Attributes:
        port: The port that operators' browsers reach.
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
        SettingsError: The file cannot be read, or has faults; it names all of them.
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
    """Returns one line for each fault: its place in the document and what is wrong."""
    return [f"{_place(fault['loc'])}: {fault['msg']}" for fault in error.errors()]


def _place(location) -> str:
    place = ""
    for part in location:
        if isinstance(part, int):
            place += f"[{part}]"
        else:
            place += f".{part}" if place else str(part)
    return place or "document"
