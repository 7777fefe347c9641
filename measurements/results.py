"""The result that a measurement prints."""

import os
import typing

import msgspec

CORE_COUNT = os.cpu_count()
"""How many cores the machine has."""


class Check(msgspec.Struct, frozen=True):
    """The comparison of a figure with its target.

    What the target is, or how it follows from other figures, is stated before the run.

    Attributes:
        figure: The name of the figure.
        measured: The measured value.
        target: The limit of the value.
        at_most: Whether the target is an upper limit; otherwise it is a lower limit.
        met: Whether the value is within the limit.
    """

    figure: str
    measured: float
    target: float
    at_most: bool
    met: bool


class Result(msgspec.Struct, frozen=True):
    """The result of one run of a measurement.

    Attributes:
        name: The name of the measurement.
        seed: The random seed.
        settings: The settings of the run.
        figures: The measured figures.
        checks: The checks of the figures that have a target.
        load_before: The machine's load average over 1 minute before the run.
        load_after: The machine's load average over 1 minute after the run.
        cores: How many cores the machine has.
    """

    name: str
    seed: int
    settings: typing.Any
    figures: typing.Any
    checks: list[Check]
    load_before: float
    load_after: float
    cores: int


def check_at_most(figure: str, measured: float, target: float) -> Check:
    """Checks that a figure is at most its target."""
    return Check(figure, measured, target, True, measured <= target)


def check_at_least(figure: str, measured: float, target: float) -> Check:
    """Checks that a figure is at least its target."""
    return Check(figure, measured, target, False, measured >= target)


def load_average() -> float:
    """Returns the machine's load average over 1 minute."""
    return round(os.getloadavg()[0], 2)


def render(result: Result) -> str:
    """Returns a result as one line of JSON."""
    return msgspec.json.encode(result).decode()
