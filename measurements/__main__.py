"""The command line of the measurements."""

import asyncio
import dataclasses
import enum
import typing

import cappa

from measurements import latency, results


class Name(enum.Enum):
    """The measurements."""

    LATENCY = "latency"


async def measure(name: Name, seed: int) -> results.Result:
    """Runs a measurement."""
    match name:
        case Name.LATENCY:
            return await latency.measure(seed)


@cappa.command(name="measure")
@dataclasses.dataclass
class Command:
    """Runs one measurement and prints its result as one line of JSON.

    Attributes:
        name: The measurement.
        seed: The seed of the random numbers.
    """

    name: Name
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> None:
        """Runs the measurement."""
        print(results.render(asyncio.run(measure(self.name, self.seed))))


if __name__ == "__main__":
    cappa.invoke(Command)
