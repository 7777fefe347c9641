import ast
import pathlib
import re
import unittest

from teaselsill import messages

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / "docs"


def list_modules():
    paths = (ROOT / "teaselsill").glob("*.py")
    return {path.name for path in paths if not path.name.startswith("__")}


def list_reasons():
    """Yields the reasons in `refusals.py`, which the callers' page has to list."""
    tree = ast.parse((ROOT / "teaselsill/refusals.py").read_text())
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and getattr(node.func, "id", "") == "Refusal":
            reason = node.args[1]
            if isinstance(reason, ast.Constant):
                yield reason.value


class PagesTest(unittest.TestCase):
    """The pages list all names of the program that they document."""

    def test_developers_page_has_every_module(self):
        page = (DOCS / "developers.md").read_text()
        listed = set(re.findall(r"^\| `(\w+\.py)` \|", page, re.MULTILINE))
        self.assertEqual(list_modules(), listed)

    def test_callers_page_has_every_refusal(self):
        page = (DOCS / "callers.md").read_text()
        table = page.partition("## Refusals")[2]
        reasons = {*list_reasons(), *(reason.value for reason in messages.Reason)}
        missing = [name for name in reasons if name and f"`{name}`" not in table]
        self.assertEqual([], missing)
