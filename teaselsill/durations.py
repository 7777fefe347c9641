"""Estimates how long a request may take, from those that have ended."""

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
"""The weights and the factor of RFC 6298, which estimates round-trip times alike."""


class Duration:
    """The usual duration of one kind of request, and how far it varies."""

    def __init__(self, took_s: float):
        self._mean_s = took_s
        self._deviation_s = took_s / 2

    @property
    def longest_s(self) -> float:
        """What a request hardly ever exceeds, in seconds."""
        return self._mean_s + DEVIATIONS * self._deviation_s

    def note(self, took_s: float) -> None:
        """Records the duration of a request, in seconds."""
        error_s = took_s - self._mean_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * error_s


class Durations:
    """The durations of the requests of each route."""

    def __init__(self):
        self._by_route: dict[str, Duration] = {}

    def note(self, route: str, took_s: float) -> None:
        """Records how long a request has taken, in seconds."""
        known = self._by_route.get(route)
        if known is None:
            self._by_route[route] = Duration(took_s)
        else:
            known.note(took_s)

    def predict_s(self, route: str) -> float | None:
        """Returns how long a request may take, in seconds; None if it is unknown."""
        known = self._by_route.get(route)
        return known.longest_s if known is not None else None
