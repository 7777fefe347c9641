"""The base classes of the exceptions that this package raises."""


class TeaselsillError(Exception):
    """The base class of all exceptions that this package defines."""


class InvariantError(TeaselsillError):
    """An invariant was violated, or the violation was prevented at the last moment."""


class ConfigurationError(TeaselsillError):
    """The configuration could not be read, validated or published."""


class SettingsError(TeaselsillError):
    """A process's settings file is invalid.

    Attributes:
        faults: One line per error, each starting with the path of the invalid key.
    """

    def __init__(self, path, faults):
        super().__init__("\n".join(f"{path}: {fault}" for fault in faults))
        self.faults = list(faults)


class LogError(TeaselsillError):
    """A call of the platform's log service failed."""


class InstanceListError(TeaselsillError):
    """The platform's instance list could not be read."""


class LinkError(TeaselsillError):
    """A connection between two processes of the fleet failed."""


class UpstreamError(TeaselsillError):
    """An upstream did not answer, or not according to its protocol."""


class RequestError(TeaselsillError):
    """A caller's request was refused or failed."""
