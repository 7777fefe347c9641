"""Runs the command line as `python -m teaselsill`."""

import sys

from teaselsill import commands

if __name__ == "__main__":
    sys.exit(commands.main())
