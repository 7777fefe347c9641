"""The console's pages, as HTML."""

import dataclasses
import html
import typing

from teaselsill import console_forms, document, ids

STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 1.5rem auto; max-width: 62rem;
  padding: 0 1rem; color: #1d2329; }
fieldset { border: 1px solid #b9c1c9; border-radius: 5px; margin: .8rem 0; }
legend { font-weight: 600; }
label { display: grid; grid-template-columns: 11rem 22rem 1fr; gap: .8rem;
  margin: .35rem 0; align-items: start; }
input, select, textarea { font: inherit; padding: .2rem .35rem; width: 100%;
  box-sizing: border-box; }
small { color: #57616b; }
.fault { color: #a3121f; display: block; font-weight: 600; }
.good, .bad { border-left: 5px solid; padding: .5rem .9rem; }
.good { border-color: #1c7c3c; background: #edf8f0; }
.bad { border-color: #a3121f; background: #fdf0f0; }
pre { background: #f3f5f7; padding: .8rem; overflow: auto; }
.bar { position: sticky; bottom: 0; background: #fff; border-top: 1px solid #b9c1c9;
  padding: .7rem 0; }
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What the console has to say.

    Attributes:
        text: The sentence.
        is_success: Whether it is good news.
    """

    text: str
    is_success: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another configuration that was accepted meanwhile.

    Attributes:
        version: Its version.
        diff: How the draft differs from it, as a unified diff.
    """

    version: ids.Version
    diff: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Page:
    """The form and what stands around it.

    Attributes:
        draft: What the form holds.
        based_on: The version that the draft replaces.
        publisher: Who publishes.
        faults: What is wrong with the draft.
        notices: What the console has to say.
        new_key: A key to show once.
        conflict: What stands in the way of publishing.
        upstreams: The upstreams that the platform lists, as `service: names`.
    """

    draft: console_forms.Draft
    based_on: ids.Version
    publisher: str = ""
    faults: list[str] = dataclasses.field(default_factory=list)
    notices: list[Notice] = dataclasses.field(default_factory=list)
    new_key: console_forms.NewKey | None = None
    conflict: Conflict | None = None
    upstreams: list[str] = dataclasses.field(default_factory=list)


def render(page: Page) -> str:
    """Returns the page with the form."""
    faults_by_path = console_forms.group_faults(page.faults, page.draft)
    fields = _Renderer(faults_by_path).render_group(
        document.Document, page.draft, path=""
    )
    return _render_frame(
        _render_notices(page.notices)
        + _render_new_key(page.new_key)
        + _render_fault_list(faults_by_path)
        + '<form method="post" action="/" autocomplete="off">'
        + _render_button("check", "Check", "hidden")
        + _render_hidden("based_on", str(page.based_on))
        + _render_conflict(page.conflict)
        + _render_upstreams(page.upstreams)
        + fields
        + _render_bar(page)
        + "</form>"
    )


def render_error(text: str) -> str:
    """Returns a page that only says what is wrong."""
    link = '<p><a href="/">Start from the configuration in force</a></p>'
    return _render_frame(_render_notices([Notice(text)]) + link)


def _render_frame(content: str) -> str:
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>teaselsill console</title><style>{STYLE}</style></head>"
        f"<body><h1>Configuration</h1>{content}</body></html>"
    )


def _render_notices(notices: list[Notice]) -> str:
    return "".join(
        f'<p class="{"good" if notice.is_success else "bad"}" role="status">'
        f"{html.escape(notice.text)}</p>"
        for notice in notices
    )


def _render_new_key(new_key: console_forms.NewKey | None) -> str:
    if new_key is None:
        return ""
    return (
        f'<p class="good" role="status">New key of {html.escape(new_key.account)}, '
        f"shown this once: <code>{html.escape(new_key.key)}</code><br>"
        "It is good once this draft is published; only its hash is kept.</p>"
    )


def _render_fault_list(faults_by_path: dict[str, list[str]]) -> str:
    items = [
        f'<li><a href="#{html.escape(path)}">{html.escape(fault)}</a></li>'
        for path, faults in faults_by_path.items()
        for fault in faults
    ]
    if not items:
        return ""
    return (
        f'<div class="bad"><b>Faults: {len(items)}</b><ul>{"".join(items)}</ul></div>'
    )


def _render_conflict(conflict: Conflict | None) -> str:
    if conflict is None:
        return ""
    return (
        f'<div class="bad"><p>Version {conflict.version} is in force. Below is what '
        "your draft would change in it (- in force, + your draft). Take over into the "
        "draft what should stay, then go on from that version; or "
        '<a href="/">drop the draft and start from the version in force</a>.</p>'
        f"<pre>{html.escape(conflict.diff)}</pre>"
        + _render_button(
            f"rebase:{conflict.version}",
            f"I have seen this: base my draft on version {conflict.version}",
        )
        + "</div>"
    )


def _render_upstreams(upstreams: list[str]) -> str:
    if not upstreams:
        return ""
    items = "".join(f"<li>{html.escape(line)}</li>" for line in upstreams)
    title = "Upstreams that the platform lists"
    return f"<details><summary>{title}</summary><ul>{items}</ul></details>"


def _render_bar(page: Page) -> str:
    return (
        '<div class="bar"><label>Your name<input type="text" name="publisher" '
        f'value="{html.escape(page.publisher)}"><small>shown in the history</small>'
        f"</label><p>{_describe_base(page.based_on)} "
        + _render_button("check", "Check")
        + " "
        + _render_button("download", "Download the document")
        + " "
        + _render_button("publish", "Publish")
        + "</p></div>"
    )


def _describe_base(version: ids.Version) -> str:
    if version == ids.NO_VERSION:
        return "Nothing was published yet."
    return f"Based on version {version}."


def _render_button(action: str, label: str, attributes: str = "") -> str:
    return (
        f'<button name="action" value="{html.escape(action)}" {attributes}>'
        f"{html.escape(label)}</button>"
    )


def _render_hidden(name: str, value: str) -> str:
    return f'<input type="hidden" name="{name}" value="{html.escape(value)}">'


class _Renderer:
    """Renders the form's fields, each with its faults beside it."""

    def __init__(self, faults_by_path: dict[str, list[str]]):
        self._faults_by_path = faults_by_path

    def render_group(
        self, model: console_forms.Model, draft: console_forms.Draft, path: str
    ) -> str:
        fields = console_forms.list_fields(model, path)
        return "".join(
            self._render_field(field, draft.get(field.name)) for field in fields
        )

    def _render_field(self, field: console_forms.Field, value: typing.Any) -> str:
        match field.type:
            case console_forms.Group(model):
                inner = f"<small>{html.escape(_describe(field))}</small>"
                inner += self.render_group(model, value or {}, field.path)
                return self._render_fieldset(field.path, _title(field.name), inner)
            case console_forms.Groups(model):
                return self._render_groups(field, model, value or [])
            case _:
                return self._render_label(field, value)

    def _render_groups(
        self, field: console_forms.Field, model: console_forms.Model, parts: list
    ) -> str:
        inner = f"<small>{html.escape(_describe(field))}</small>"
        for number, part in enumerate(parts):
            inner += self._render_part(f"{field.path}[{number}]", model, part)
        inner += _render_button(f"add:{field.path}", f"Add to {_title(field.name)}")
        return self._render_fieldset(field.path, _title(field.name), inner)

    def _render_part(
        self, path: str, model: console_forms.Model, part: console_forms.Draft
    ) -> str:
        title = part.get("id") or part.get("name") or path.rpartition(".")[2]
        inner = self.render_group(model, part, path)
        if model is document.ClientAccount:
            inner += _render_button(f"new-key:{path}", "Make a new key")
        inner += _render_button(f"remove:{path}", f"Remove {title}")
        return self._render_fieldset(path, str(title), inner)

    def _render_fieldset(self, path: str, title: str, inner: str) -> str:
        return (
            f'<fieldset id="{html.escape(path)}">'
            f"<legend>{html.escape(title)}</legend>"
            f"{self._render_faults(path)}{inner}</fieldset>"
        )

    def _render_label(self, field: console_forms.Field, value: typing.Any) -> str:
        return (
            f'<label id="{html.escape(field.path)}">{html.escape(_title(field.name))}'
            f"<span>{_render_input(field, value)}{self._render_faults(field.path)}"
            f"</span><small>{html.escape(field.help)}</small></label>"
        )

    def _render_faults(self, path: str) -> str:
        return "".join(
            f'<span class="fault">{html.escape(fault)}</span>'
            for fault in self._faults_by_path.get(path, [])
        )


def _render_input(field: console_forms.Field, value: typing.Any) -> str:
    name = html.escape(field.path)
    hint = html.escape(field.default and f"default: {field.default}")
    text = "" if value is None else str(value)
    match field.type:
        case console_forms.Choice(options):
            return _render_select(name, hint, options, text)
        case console_forms.Lines():
            lines = html.escape("\n".join(value or []))
            rows = max(2, len(value or []) + 1)
            return (
                f'<textarea name="{name}" rows="{rows}" placeholder="one a line">'
                f"\n{lines}</textarea>"
            )
        case console_forms.Day():
            kind = "date"
        case _:
            kind = "text"
    return (
        f'<input type="{kind}" name="{name}" value="{html.escape(text)}" '
        f'placeholder="{hint}">'
    )


def _render_select(name: str, hint: str, options: tuple[str, ...], chosen: str) -> str:
    items = f'<option value="">{hint or "choose"}</option>'
    for option in options:
        mark = " selected" if option == chosen else ""
        items += f"<option{mark}>{html.escape(option)}</option>"
    return f'<select name="{name}">{items}</select>'


def _describe(field: console_forms.Field) -> str:
    return f"{field.help} Default: {field.default}." if field.default else field.help


def _title(name: str) -> str:
    if name.endswith("_s"):
        name = f"{name.removesuffix('_s')} (seconds)"
    return name.replace("_", " ")
