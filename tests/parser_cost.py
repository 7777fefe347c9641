"""Compares the cost of parsing an ordinary request with an earlier version's.

    .venv/bin/python -m tests.parser_cost FILE

FILE is the earlier `request_parser.py`, such as `git show REVISION:...` writes it. Both
parse the same request in turns, in one run; the median of the ratios is printed.
"""

import importlib.util
import statistics
import sys
import time

from teaselsill import request_parser

ROUNDS = 200
REQUESTS = 200
HEADERS = "".join(f"x-field-{n}: value of field {n}\r\n" for n in range(14))
HEAD = f"POST /pufi791/1 HTTP/1.1\r\nHost: a.example\r\n{HEADERS}"
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024


def load(path):
    """Imports a module from a file."""
    spec = importlib.util.spec_from_file_location("earlier_parser", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def measure_s(module, pieces):
    """Returns how long parsing one request in pieces takes, in seconds."""
    parser = module.RequestParser(MAX_HEAD_BYTES, MAX_BODY_BYTES)
    began_at = time.perf_counter()
    for _ in range(REQUESTS):
        for piece in pieces:
            parser.feed(piece)
        parser.take()
    return (time.perf_counter() - began_at) / REQUESTS


def compare(earlier, name, pieces):
    """Prints the times of both versions and their ratio."""
    times = [
        (measure_s(earlier, pieces), measure_s(request_parser, pieces))
        for _ in range(ROUNDS)
    ]
    ratio = statistics.median(new / old for old, new in times)
    old_us, new_us = (
        1e6 * statistics.median(each) for each in zip(*times, strict=True)
    )
    print(f"{name}: {old_us:.2f} us before, {new_us:.2f} us now, ratio {ratio:.3f}")


def main():
    """Compares requests of 12 KB and 72 KB, whole and in pieces."""
    earlier = load(sys.argv[1])
    for size in (12 * 1024, 72 * 1024):
        message = f"{HEAD}Content-Length: {size}\r\n\r\n".encode() + b"x" * size
        compare(earlier, f"{size} bytes whole", [message])
        step = 32 * 1024 if size > 32 * 1024 else 4 * 1024
        pieces = [message[i : i + step] for i in range(0, len(message), step)]
        compare(earlier, f"{size} bytes in pieces of {step}", pieces)


if __name__ == "__main__":
    main()
