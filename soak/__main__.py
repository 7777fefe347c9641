"""The command line of the soak run."""

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
"""How far the instance list lags behind the changes made to it."""
FINAL_SETTLE_S = 1.0
"""How long the run waits between the last request and the last checks."""


class Shape(enum.Enum):
    """The deployments that the run can use."""

    CARONI = "caroni"
    VIKARBRO = "vikarbro"


@cappa.command(name="soak")
@dataclasses.dataclass
class Command:
    """Runs a mixed workload with random failures against real processes.

    Attributes:
        seed: The random seed; the same seed gives the same schedule of failures.
        minutes: For how many minutes new failures are started.
        shape: The deployment to run.
        schedule_only: Print the schedule and exit without running it.
        logs: The directory to copy the nodes' log files to at the end, or empty.
    """

    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    minutes: typing.Annotated[float, cappa.Arg(long=True)] = 1.0
    shape: typing.Annotated[Shape, cappa.Arg(long=True)] = Shape.VIKARBRO
    schedule_only: typing.Annotated[bool, cappa.Arg(long=True)] = False
    logs: typing.Annotated[str, cappa.Arg(long=True)] = ""

    def __call__(self) -> None:
        """Runs the schedule and prints a summary; exits with 1 if a check failed."""
        steps = schedule.make(self.seed, self.minutes * 60)
        if self.schedule_only:
            for step in steps:
                _print_step(step)
            return
        run_summary = asyncio.run(_run(self, steps))
        print(msgspec.json.format(msgspec.json.encode(run_summary), indent=2).decode())
        sys.exit(1 if run_summary.violations else 0)


async def _run(command: Command, steps: list[schedule.Step]) -> summary.Summary:
    shape = shapes.SHAPE_BY_NAME[command.shape.value]
    async with fleet.Fleet(shape, lag_s=LIST_LAG_S, is_relayed=True) as deployment:
        callers = workload.Workload(deployment, command.seed)
        checker = checks.Checker(deployment, callers.calls)
        injector = failures.FailureInjector(deployment, callers.balancer, checker)
        started_at = time.monotonic()
        calls_task = asyncio.create_task(callers.run())
        versions_task = asyncio.create_task(checker.watch_versions())
        try:
            for step in steps:
                await _run_step(step, started_at, injector, checker)
            callers.stop()
            await calls_task
            await asyncio.sleep(FINAL_SETTLE_S)
            await checker.check_all()
        finally:
            for task in (calls_task, versions_task):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
            _copy_logs(deployment, command.logs)
        duration_s = time.monotonic() - started_at
        return summary.make(
            command.seed, command.shape.value, duration_s, callers.calls, steps, checker
        )


async def _run_step(step, started_at, injector, checker) -> None:
    await asyncio.sleep(max(0.0, started_at + step.at_s - time.monotonic()))
    print(f"at {time.monotonic() - started_at:.1f} s: ", end="")
    _print_step(step)
    await injector.run_step(step)
    await asyncio.sleep(schedule.SETTLE_S)
    await checker.check_all()


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
