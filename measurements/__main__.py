"""The command line of the measurements."""

import asyncio
import dataclasses
import enum
import typing

import cappa

from measurements import (
    control,
    credits,
    fairness,
    flood,
    latency,
    results,
    scale,
    utilisation,
)


class Name(enum.Enum):
    """The names of the measurements."""

    CONTROL = "control"
    CREDITS = "credits"
    FAIRNESS = "fairness"
    FLOOD = "flood"
    LATENCY = "latency"
    SCALE = "scale"
    UTILISATION = "utilisation"


async def measure(name: Name, seed: int) -> results.Result:
    """Runs a measurement and returns its result."""
    match name:
        case Name.CONTROL:
            return await control.measure(seed)
        case Name.CREDITS:
            return await credits.measure(seed)
        case Name.FAIRNESS:
            return await fairness.measure(seed)
        case Name.FLOOD:
            return await flood.measure(seed)
        case Name.LATENCY:
            return await latency.measure(seed)
        case Name.SCALE:
            return await scale.measure(seed)
        case Name.UTILISATION:
            return await utilisation.measure(seed)


@cappa.command(name="measure")
@dataclasses.dataclass
class Command:
    """Runs one measurement and prints its result as one line of JSON.

    Attributes:
        name: The name of the measurement.
        seed: The random seed.
    """

    name: Name
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> None:
        """Runs the measurement and prints its result."""
        print(results.render(asyncio.run(measure(self.name, self.seed))))


if __name__ == "__main__":
    cappa.invoke(Command)
