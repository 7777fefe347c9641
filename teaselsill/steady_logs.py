"""Logging to standard output that never blocks and is rate-limited."""

import collections
import logging
import os
import sys
import time

from teaselsill import logs

MAX_LINES_PER_S = 100
"""The maximum rate of lines of one kind: one log level, logger and message. Delivered
and failed requests are different kinds."""
SUMMARY = "log lines left out"


class BoundedHandler(logging.Handler):
    """Writes records to a file descriptor without waiting for its reader.

    Lines above the rate limit, and lines that the reader is too slow for, are left out
    and counted. The counts are logged when the next second begins.

    Args:
        descriptor: The file descriptor; it is set to non-blocking mode.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._second = 0
        self._written_by_kind: collections.Counter[str] = collections.Counter()
        self._left_out_by_kind: collections.Counter[str] = collections.Counter()
        self._unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as left out."""
        second = int(time.monotonic())
        if second != self._second:
            self._begin_second(second)
        kind = f"{record.levelname} {record.name}: {record.msg}"
        self._written_by_kind[kind] += 1
        if self._written_by_kind[kind] > MAX_LINES_PER_S:
            self._left_out_by_kind[kind] += 1
            return
        self._write(record, kind)

    def _begin_second(self, second: int) -> None:
        self._second = second
        self._written_by_kind.clear()
        if not self._left_out_by_kind:
            return
        left_out, self._left_out_by_kind = self._left_out_by_kind, collections.Counter()
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, SUMMARY, None, None
        )
        record.left_out = dict(left_out)
        self._write(record, SUMMARY)

    def _write(self, record: logging.LogRecord, kind: str) -> None:
        try:
            line = (self.format(record) + "\n").encode()
        except Exception:
            self.handleError(record)
            return
        if self._unwritten and not self._flush_unwritten():
            self._left_out_by_kind[kind] += 1
            return
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            self._left_out_by_kind[kind] += 1
            return
        except OSError:
            return  # The reader has gone; the error cannot be reported anywhere.
        self._unwritten = line[written:]

    def _flush_unwritten(self) -> bool:
        """Writes the rest of a partially written line."""
        try:
            written = os.write(self._descriptor, self._unwritten)
        except OSError:
            return False
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def configure(level: str, role: str, instance: str) -> None:
    """Sends all log records to standard output, one JSON object per line.

    Args:
        level: The minimum level that is written, such as `INFO`.
        role: The role of this process; a field of every line.
        instance: The id of this instance; a field of every line.
    """
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(logs.build_formatter(role, instance))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    # No line states where it was logged from, or by which thread or task.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
