import importlib.metadata
import json
import pathlib
import re
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).parents[2]
IMPORT_ROUTER = """
import importlib.abc, json, sys

class Blocker(importlib.abc.MetaPathFinder):
    blocked = set(json.loads(sys.argv[1]))

    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in self.blocked:
            raise ModuleNotFoundError(f"{name} is not deployed", name=name)

sys.meta_path.insert(0, Blocker())
from adapter import router_role
"""


def normalize(name):
    return re.sub(r"[-_.]+", "-", name).lower()


class DeployTest(unittest.TestCase):
    def test_router_needs_only_the_packages_that_are_deployed(self):
        """Each router ended at its start: a module had come to need another package."""
        lines = (ROOT / "deploy/requirements.txt").read_text().splitlines()
        deployed = {normalize(re.split(r"[=<>~\[; ]", line)[0]) for line in lines}
        deployed.add("teaselsill")
        blocked = [
            module
            for module, packages in importlib.metadata.packages_distributions().items()
            if not deployed & {normalize(package) for package in packages}
        ]
        started = subprocess.run(
            [sys.executable, "-c", IMPORT_ROUTER, json.dumps(blocked)],
            capture_output=True,
            cwd=ROOT / "platform",
            env={"PYTHONPATH": str(ROOT)},
            check=False,
        )
        self.assertEqual(0, started.returncode, started.stderr.decode())
