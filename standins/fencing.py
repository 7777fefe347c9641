"""The check of fencing numbers that an upstream may make."""

import enum

from starlette import exceptions, requests

HEADER = "Teaselsill-Fencing"


class StaleFencingError(exceptions.HTTPException):
    """An order came with an older fencing number than one seen before."""

    def __init__(self):
        super().__init__(409, "stale fencing number")


class Mode(enum.Enum):
    """Whether a stand-in looks at fencing numbers."""

    CHECKED = "checked"
    IGNORED = "ignored"


class FencingChecker:
    """Refuses orders with an older fencing number than the highest seen.

    Args:
        mode: Whether it checks at all.
    """

    def __init__(self, mode: Mode):
        self._mode = mode
        self._highest = 0

    def check(self, request: requests.Request) -> None:
        """Checks a request's fencing number, if it has one.

        Raises:
            StaleFencingError: The number is older than the highest seen.
            HTTPException: It is not a number; the reply has status 400.
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
