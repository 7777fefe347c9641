"""The command of the soak run."""

import asyncio
import contextlib
import dataclasses
import enum
import sys
import time
import typing

import cappa
import msgspec

from soak import checks, failures, schedule, summary, workload
from standins import fleet, shapes

LIST_LAG_S = 0.5
FINAL_SETTLE_S = 1.0


class Shape(enum.Enum):
    """The deployments."""

    CARONI = "caroni"
    VIKARBRO = "vikarbro"


@cappa.command(name="soak")
@dataclasses.dataclass
class Command:
    """Runs mixed work with random failures over real processes.

    Attributes:
        seed: The seed; the same seed gives the same schedule of failures.
        minutes: How long new failures begin.
        shape: The deployment.
        schedule_only: Print the schedule and do nothing.
        logs: Where the nodes' log lines are copied at the end, or empty.
    """

    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    minutes: typing.Annotated[float, cappa.Arg(long=True)] = 1.0
    shape: typing.Annotated[Shape, cappa.Arg(long=True)] = Shape.VIKARBRO
    schedule_only: typing.Annotated[bool, cappa.Arg(long=True)] = False
    logs: typing.Annotated[str, cappa.Arg(long=True)] = ""

    def __call__(self) -> None:
        """Runs, prints the summary, and exits with 1 after a violation."""
        steps = schedule.make(self.seed, self.minutes * 60)
        if self.schedule_only:
            for step in steps:
                _print_step(step)
            return
        found = asyncio.run(_run(self, steps))
        print(msgspec.json.format(msgspec.json.encode(found), indent=2).decode())
        sys.exit(1 if found.violations else 0)


async def _run(command: Command, steps: list[schedule.Step]) -> summary.Summary:
    shape = shapes.SHAPE_BY_NAME[command.shape.value]
    async with fleet.Fleet(shape, lag_s=LIST_LAG_S, is_relayed=True) as deployment:
        work = workload.Workload(deployment, command.seed)
        checking = checks.Checker(deployment, work.calls)
        breaking = failures.FailureInjector(deployment, work.balancer, checking)
        began_at = time.monotonic()
        calling = asyncio.create_task(work.run())
        watching = asyncio.create_task(checking.watch_versions())
        try:
            for step in steps:
                await _run_step(step, began_at, breaking, checking)
            work.stop()
            await calling
            await asyncio.sleep(FINAL_SETTLE_S)
            await checking.check_all()
        finally:
            for task in (calling, watching):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
            _copy_logs(deployment, command.logs)
        lasted_s = time.monotonic() - began_at
        return summary.make(
            command.seed, command.shape.value, lasted_s, work.calls, steps, checking
        )


async def _run_step(step, began_at, breaking, checking) -> None:
    await asyncio.sleep(max(0.0, began_at + step.at_s - time.monotonic()))
    print(f"at {time.monotonic() - began_at:.1f} s: ", end="")
    _print_step(step)
    await breaking.run_step(step)
    await asyncio.sleep(schedule.SETTLE_S)
    await checking.check_all()


def _print_step(step: schedule.Step) -> None:
    parts = [
        f"{f.kind.value} target {f.target} after {f.offset_s} s for {f.duration_s} s"
        for f in step.failures
    ]
    print(f"step at {step.at_s} s: {'; '.join(parts)}", flush=True)


def _copy_logs(deployment: fleet.Fleet, directory: str) -> None:
    if directory:
        deployment.copy_logs(directory)


if __name__ == "__main__":
    cappa.invoke(Command)
