import pathlib
import re
import unittest

import pydantic

from teaselsill import settings

PAGE = pathlib.Path(__file__).parent.parent / "docs/operators/settings.md"
HEADING_BY_MODEL = {
    settings.CommonSettings: "Every process",
    settings.RouterSettings: "A router",
    settings.AgentSettings: "An agent",
    settings.ConsoleSettings: "A console",
}


def read_table(heading):
    """Returns the defaults in the table of a section, by the name of the setting."""
    section = PAGE.read_text().partition(f"## {heading}\n")[2].partition("\n## ")[0]
    rows = re.findall(r"^\| `(\S+)` \| .*? \| (.*?) \| .* \|$", section, re.MULTILINE)
    return {name: default.strip("`") for name, default in rows}


def list_defaults(model, prefix=""):
    """Yields the names and defaults of a model's settings, as written on the page."""
    for name, field in model.model_fields.items():
        section = find_section(field.annotation)
        if section:
            optional = not field.is_required()
            for inner, default in list_defaults(section, f"{prefix}{name}."):
                yield inner, "no TLS" if optional else default
        elif field.is_required():
            yield prefix + name, "required"
        else:
            yield prefix + name, str(field.default) or "empty"


def find_section(annotation):
    for part in (annotation, *getattr(annotation, "__args__", ())):
        if isinstance(part, type) and issubclass(part, pydantic.BaseModel):
            return part
    return None


class SettingsPageTest(unittest.TestCase):
    """The operators' page lists every setting with its default."""

    def test_tables_equal_the_models(self):
        common = dict(list_defaults(settings.CommonSettings))
        for model, heading in HEADING_BY_MODEL.items():
            expected = dict(list_defaults(model))
            if model is not settings.CommonSettings:
                expected = {k: v for k, v in expected.items() if k not in common}
            with self.subTest(heading):
                self.assertEqual(expected, read_table(heading))
