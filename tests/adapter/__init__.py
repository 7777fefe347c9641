"""Tests of the platform adapter, whose directory is added to the import path."""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).parents[2] / "platform"))
