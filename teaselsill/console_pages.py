"""Renders the pages of the console as HTML."""

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
    """A message to the operator about the action just performed.

    Attributes:
        text: The message.
        is_success: Whether the action succeeded.
    """

    text: str
    is_success: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A version that was accepted after the one that the draft is based on.

    Attributes:
        version: The version in force.
        diff: A unified diff from that version to the draft.
    """

    version: ids.Version
    diff: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Page:
    """The content of the page with the form.

    Attributes:
        draft: The draft that the form shows.
        based_on: The version that the draft replaces.
        publisher: The name of the operator, which is shown in the history.
        faults: The validation errors of the draft.
        notices: Messages about the action just performed.
        new_key: A newly generated key, shown on this page only.
        conflict: The version that prevents publication, if there is one.
        upstreams: One line for each listed upstream: its service, id and state.
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
    return _render_html(
        _render_notices(page.notices)
        + _render_new_key(page.new_key)
        + _render_fault_list(faults_by_path)
        + '<form method="post" action="/" autocomplete="off">'
        + _render_button("check", "Check", "hidden")
        + _render_hidden("based_on", str(page.based_on))
        + _render_conflict(page.conflict)
        + _render_upstreams(page.upstreams)
        + fields
        + _render_toolbar(page)
        + "</form>"
    )


def render_error(text: str) -> str:
    """Returns a page with an error message and no form."""
    link = '<p><a href="/">Start from the configuration in force</a></p>'
    return _render_html(_render_notices([Notice(text)]) + link)


def _render_html(content: str) -> str:
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
        "It becomes valid when this draft is published; only its hash is stored.</p>"
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
        "your draft would change in it (- in force, + your draft). Copy into the draft "
        "what should be kept, then base the draft on that version; or "
        '<a href="/">discard the draft and start from the version in force</a>.</p>'
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


def _render_toolbar(page: Page) -> str:
    return (
        '<div class="bar"><label>Your name<input type="text" name="publisher" '
        f'value="{html.escape(page.publisher)}"><small>shown in the history</small>'
        f"</label><p>{_describe_based_on(page.based_on)} "
        + _render_button("check", "Check")
        + " "
        + _render_button("download", "Download the document")
        + " "
        + _render_button("publish", "Publish")
        + "</p></div>"
    )


def _describe_based_on(version: ids.Version) -> str:
    if version == ids.NO_VERSION:
        return "Nothing has been published yet."
    return f"Based on version {version}."


def _render_button(action: str, label: str, attributes: str = "") -> str:
    return (
        f'<button name="action" value="{html.escape(action)}" {attributes}>'
        f"{html.escape(label)}</button>"
    )


def _render_hidden(name: str, value: str) -> str:
    return f'<input type="hidden" name="{name}" value="{html.escape(value)}">'


class _Renderer:
    """Renders the fields of the form, each with its faults next to it."""

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
                return self._render_fieldset(
                    field.path, _format_title(field.name), inner
                )
            case console_forms.Groups(model):
                return self._render_groups(field, model, value or [])
            case _:
                return self._render_label(field, value)

    def _render_groups(
        self, field: console_forms.Field, model: console_forms.Model, items: list
    ) -> str:
        inner = f"<small>{html.escape(_describe(field))}</small>"
        for index, item in enumerate(items):
            inner += self._render_item(f"{field.path}[{index}]", model, item)
        inner += _render_button(
            f"add:{field.path}", f"Add to {_format_title(field.name)}"
        )
        return self._render_fieldset(field.path, _format_title(field.name), inner)

    def _render_item(
        self, path: str, model: console_forms.Model, item: console_forms.Draft
    ) -> str:
        title = item.get("id") or item.get("name") or path.rpartition(".")[2]
        inner = self.render_group(model, item, path)
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
            f'<label id="{html.escape(field.path)}">'
            f"{html.escape(_format_title(field.name))}"
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
                f'<textarea name="{name}" rows="{rows}" placeholder="one per line">'
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


def _format_title(name: str) -> str:
    if name.endswith("_s"):
        name = f"{name.removesuffix('_s')} (seconds)"
    return name.replace("_", " ")
