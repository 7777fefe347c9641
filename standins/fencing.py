"""The check of fencing numbers, which an upstream can make."""

import enum

from starlette import exceptions, requests

HEADER = "Teaselsill-Fencing"


class StaleFencingError(exceptions.HTTPException):
    """A request has a lower fencing number than an earlier request."""

    def __init__(self):
        super().__init__(409, "stale fencing number")


class Mode(enum.Enum):
    """Whether a stand-in checks fencing numbers."""

    CHECKED = "checked"
    IGNORED = "ignored"


class FencingChecker:
    """Rejects requests whose fencing number is lower than the highest one seen.

    Args:
        mode: Whether numbers are checked or ignored.
    """

    def __init__(self, mode: Mode):
        self._mode = mode
        self._highest = 0

    def check(self, request: requests.Request) -> None:
        """Checks a request's fencing number, if it has one.

        Raises:
            StaleFencingError: The number is lower than the highest one seen.
            HTTPException: It is not a number; the response has status 400.
        """
        header = request.headers.get(HEADER)
        if self._mode is Mode.IGNORED or header is None:
            return
        if not header.isdecimal():
            raise exceptions.HTTPException(400, "fencing number is not a number")
        number = int(header)
        if number < self._highest:
            raise StaleFencingError
        self._highest = number
