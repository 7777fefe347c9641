"""The operators' console: forms whose output is one validated document.

The console keeps nothing: the draft lives in the form that the browser sends.
"""

import dataclasses
import difflib
import json
import urllib.parse

from starlette import applications, requests, responses, routing

from teaselsill import (
    configuration,
    console_forms,
    console_pages,
    document,
    errors,
    ids,
    instances,
    log,
)

MAX_FORM_BYTES = 8 * 1024 * 1024
MAX_FIELDS = 50_000

EMPTY_DRAFT: console_forms.Draft = {"client_accounts": [], "services": []}

HEADERS = {
    "Cache-Control": "no-store",
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    "Referrer-Policy": "same-origin",
    "X-Content-Type-Options": "nosniff",
}


class ForeignOriginError(errors.ConfigurationError):
    """The form was sent by another site's page."""


class FormTooLargeError(errors.ConfigurationError):
    """The form is larger than any document."""


@dataclasses.dataclass(frozen=True, slots=True)
class Add:
    """Adds an empty part at a path."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Removes the part at a path."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """Makes a key for the client account at a path."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rebase:
    """Lets the draft replace a version that was accepted meanwhile."""

    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Checks the draft."""


@dataclasses.dataclass(frozen=True, slots=True)
class Download:
    """Returns the document as a file, if it is valid."""


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Publishes the document."""


Action = Add | Remove | NewKey | Rebase | Check | Download | Publish


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """What a browser has sent.

    Attributes:
        draft: The draft.
        based_on: The version that it replaces.
        publisher: Who publishes.
        action: What the operator asks for.
    """

    draft: console_forms.Draft
    based_on: ids.Version
    publisher: str
    action: Action


def create_app(
    log_service: log.Log, instance_list: instances.InstanceList
) -> applications.Starlette:
    """Returns the console's application.

    Args:
        log_service: The log service, where the configuration is read and published.
        instance_list: The instance list, which names the upstreams there are.
    """

    async def get_form(request: requests.Request) -> responses.Response:
        try:
            page = await _open(log_service)
        except errors.ConfigurationError as error:
            return _answer(console_pages.render_error(str(error)), 503)
        return await _answer_page(page, instance_list)

    async def post_form(request: requests.Request) -> responses.Response:
        try:
            _check_origin(request)
            form = parse_form(await _read_body(request))
            page = _start_page(form)
            file = await _act(form, page, log_service)
        except ForeignOriginError as error:
            return _answer(console_pages.render_error(str(error)), 403)
        except FormTooLargeError as error:
            return _answer(console_pages.render_error(str(error)), 413)
        except console_forms.MalformedFormError as error:
            return _answer(console_pages.render_error(str(error)), 400)
        return file or await _answer_page(page, instance_list)

    return applications.Starlette(
        routes=[
            routing.Route("/", get_form, methods=["GET"]),
            routing.Route("/", post_form, methods=["POST"]),
        ]
    )


def parse_form(body: bytes) -> Form:
    """Reads what a browser has sent.

    Raises:
        MalformedFormError: It does not come from a form of the console.
    """
    try:
        fields = urllib.parse.parse_qsl(
            body.decode("ascii"), keep_blank_values=True, max_num_fields=MAX_FIELDS
        )
    except ValueError as error:
        raise console_forms.MalformedFormError(f"unreadable form: {error}") from error
    value_by_name = dict(fields)
    return Form(
        draft=console_forms.parse_fields(fields),
        based_on=_parse_version(value_by_name.get("based_on", "")),
        publisher=value_by_name.get("publisher", "").strip(),
        action=_parse_action(value_by_name.get("action", "check")),
    )


def _parse_version(text: str) -> ids.Version:
    try:
        return ids.Version(int(text))
    except ValueError:
        raise console_forms.MalformedFormError(f"{text!r} is no version") from None


def _parse_action(text: str) -> Action:
    name, _, path = text.partition(":")
    match name:
        case "add":
            return Add(path)
        case "remove":
            return Remove(path)
        case "new-key":
            return NewKey(path)
        case "rebase":
            return Rebase(_parse_version(path))
        case "check":
            return Check()
        case "download":
            return Download()
        case "publish":
            return Publish()
        case _:
            raise console_forms.MalformedFormError(f"unknown action {name!r}")


def _check_origin(request: requests.Request) -> None:
    origin = request.headers.get("origin")
    host = request.headers.get("host", "")
    if origin is not None and urllib.parse.urlsplit(origin).netloc != host:
        raise ForeignOriginError("refused: the form was sent by another site's page")


async def _read_body(request: requests.Request) -> bytes:
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_FORM_BYTES:
            raise FormTooLargeError(f"the form exceeds {MAX_FORM_BYTES} bytes")
    return bytes(body)


async def _open(log_service: log.Log) -> console_pages.Page:
    current = await configuration.show(log_service)
    draft = json.loads(current.text) if current.text else EMPTY_DRAFT
    return console_pages.Page(draft=draft, based_on=current.version)


def _start_page(form: Form) -> console_pages.Page:
    return console_pages.Page(
        draft=form.draft, based_on=form.based_on, publisher=form.publisher
    )


async def _act(
    form: Form, page: console_pages.Page, log_service: log.Log
) -> responses.Response | None:
    """Does what the operator asks for; returns a file if that is the answer."""
    match form.action:
        case Add(path):
            console_forms.add(page.draft, path)
        case Remove(path):
            console_forms.remove(page.draft, path)
        case NewKey(path):
            page.new_key = console_forms.add_key(page.draft, path)
        case Rebase(version):
            page.based_on = version
        case Check():
            _check(page)
        case Download():
            return _build_file(page)
        case Publish():
            await _publish(page, log_service)
    return None


def _check(page: console_pages.Page) -> None:
    if _is_valid(page):
        page.notices.append(console_pages.Notice("The document is valid.", True))


def _is_valid(page: console_pages.Page) -> bool:
    try:
        document.parse(console_forms.to_json(page.draft))
    except document.DocumentError as error:
        page.faults = error.faults
    return not page.faults


def _build_file(page: console_pages.Page) -> responses.Response | None:
    if not _is_valid(page):
        return None
    name = 'attachment; filename="configuration.json"'
    return responses.Response(
        console_forms.to_json(page.draft),
        headers={**HEADERS, "Content-Disposition": name},
        media_type="application/json",
    )


async def _publish(page: console_pages.Page, log_service: log.Log) -> None:
    if not page.publisher:
        page.notices.append(console_pages.Notice("Not published: say who you are."))
        return
    if not _is_valid(page):
        page.notices.append(console_pages.Notice("Not published: there are faults."))
        return
    text = console_forms.to_json(page.draft)
    try:
        version = await configuration.publish(
            log_service, text, page.based_on, page.publisher
        )
    except configuration.ConflictError as error:
        page.notices.append(console_pages.Notice(str(error)))
        page.conflict = await _build_conflict(error.version, text, log_service)
    except errors.ConfigurationError as error:
        page.notices.append(console_pages.Notice(str(error)))
    else:
        page.based_on = version
        page.notices.append(
            console_pages.Notice(f"Published: version {version} is in force.", True)
        )


async def _build_conflict(
    version: ids.Version, text: bytes, log_service: log.Log
) -> console_pages.Conflict:
    try:
        current = await configuration.show(log_service)
    except errors.ConfigurationError as error:
        return console_pages.Conflict(version, f"not readable now: {error}")
    lines = difflib.unified_diff(
        _write_out(current.text) if current.text else [],
        _write_out(text),
        f"version {current.version}",
        "your draft",
        lineterm="",
    )
    return console_pages.Conflict(current.version, "\n".join(lines))


def _write_out(text: bytes) -> list[str]:
    """Returns the lines of a valid document with all defaults."""
    return document.parse(text).model_dump_json(indent=2).splitlines()


async def _answer_page(
    page: console_pages.Page, instance_list: instances.InstanceList
) -> responses.Response:
    page.upstreams = await _list_upstreams(instance_list)
    return _answer(console_pages.render(page))


async def _list_upstreams(instance_list: instances.InstanceList) -> list[str]:
    try:
        instance_by_id = await instance_list.fetch()
    except errors.InstanceListError as error:
        return [f"not available now: {error}"]
    return sorted(
        f"{instance.service}: {instance.upstream} ({instance.state.value})"
        for instance in instance_by_id.values()
        if instance.role is instances.Role.AGENT
    )


def _answer(page: str, status_code: int = 200) -> responses.Response:
    return responses.HTMLResponse(page, status_code, HEADERS)
