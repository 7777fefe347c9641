"""Tests of the adapter to the users' machines, whose folder is not a package here."""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).parents[2] / "platform"))
