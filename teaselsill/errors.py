"""The root of the exception tree and the faults that every layer shares."""


class TeaselsillError(Exception):
    """Any error that this package raises on purpose."""


class InvariantError(TeaselsillError):
    """A promise that must always hold was about to be broken."""


class ConfigurationError(TeaselsillError):
    """The operators' configuration could not be read, checked or published."""


class SettingsError(TeaselsillError):
    """A process's settings file is wrong.

    Attributes:
        faults: One line for each fault, each naming its place in the file.
    """

    def __init__(self, path, faults):
        super().__init__("\n".join(f"{path}: {fault}" for fault in faults))
        self.faults = list(faults)


class LogError(TeaselsillError):
    """The platform's log service did not do what was asked."""


class InstanceListError(TeaselsillError):
    """The platform's instance list could not be read."""


class LinkError(TeaselsillError):
    """A connection between two of the fleet's processes failed."""


class UpstreamError(TeaselsillError):
    """An upstream did not answer as its protocol says."""


class RequestError(TeaselsillError):
    """A caller's request is refused or failed."""
