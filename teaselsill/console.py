"""The operators' console: a web form for editing the configuration document.

The console is stateless: the browser sends the whole draft with every request.
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
"""The maximum size of a submitted form; larger than any document."""
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
    """The form was submitted by a page of another origin."""


class FormTooLargeError(errors.ConfigurationError):
    """The submitted form exceeds `MAX_FORM_BYTES`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Add:
    """Appends an empty item to the list at a path."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Removes the list item at a path."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """Generates an API key for the client account at a path."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rebase:
    """Bases the draft on a version that was accepted since the draft was begun."""

    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Validates the draft."""


@dataclasses.dataclass(frozen=True, slots=True)
class Download:
    """Downloads the document as a file if it is valid."""


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Publishes the document if it is valid."""


Action = Add | Remove | NewKey | Rebase | Check | Download | Publish


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """A submitted form.

    Attributes:
        draft: The draft of the document.
        based_on: The version that the draft replaces.
        publisher: The name of the operator, which is shown in the history.
        action: The action of the button that was pressed.
    """

    draft: console_forms.Draft
    based_on: ids.Version
    publisher: str
    action: Action


def create_app(
    log_service: log.Log, instance_list: instances.InstanceList
) -> applications.Starlette:
    """Returns the console as an ASGI application.

    Args:
        log_service: The log service that holds the configuration.
        instance_list: The instance list, from which the page lists the upstreams.
    """

    async def get_form(request: requests.Request) -> responses.Response:
        try:
            page = await _load_page(log_service)
        except errors.ConfigurationError as error:
            return _respond(console_pages.render_error(str(error)), 503)
        return await _respond_with_page(page, instance_list)

    async def post_form(request: requests.Request) -> responses.Response:
        try:
            _check_origin(request)
            form = parse_form(await _read_body(request))
            page = _make_page(form)
            download = await _perform_action(form, page, log_service)
        except ForeignOriginError as error:
            return _respond(console_pages.render_error(str(error)), 403)
        except FormTooLargeError as error:
            return _respond(console_pages.render_error(str(error)), 413)
        except console_forms.MalformedFormError as error:
            return _respond(console_pages.render_error(str(error)), 400)
        return download or await _respond_with_page(page, instance_list)

    return applications.Starlette(
        routes=[
            routing.Route("/", get_form, methods=["GET"]),
            routing.Route("/", post_form, methods=["POST"]),
        ]
    )


def parse_form(body: bytes) -> Form:
    """Parses the URL-encoded body of a submitted form.

    Raises:
        MalformedFormError: The body was not made by a form of the console.
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
        raise console_forms.MalformedFormError(f"{text!r} is not a version") from None


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


async def _load_page(log_service: log.Log) -> console_pages.Page:
    current = await configuration.show(log_service)
    draft = json.loads(current.text) if current.text else EMPTY_DRAFT
    return console_pages.Page(draft=draft, based_on=current.version)


def _make_page(form: Form) -> console_pages.Page:
    return console_pages.Page(
        draft=form.draft, based_on=form.based_on, publisher=form.publisher
    )


async def _perform_action(
    form: Form, page: console_pages.Page, log_service: log.Log
) -> responses.Response | None:
    """Performs the form's action on the page; returns a response for a download."""
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
            return _build_download(page)
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


def _build_download(page: console_pages.Page) -> responses.Response | None:
    if not _is_valid(page):
        return None
    disposition = 'attachment; filename="configuration.json"'
    return responses.Response(
        console_forms.to_json(page.draft),
        headers={**HEADERS, "Content-Disposition": disposition},
        media_type="application/json",
    )


async def _publish(page: console_pages.Page, log_service: log.Log) -> None:
    if not page.publisher:
        page.notices.append(console_pages.Notice("Not published: enter your name."))
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
        return console_pages.Conflict(version, f"cannot be read at the moment: {error}")
    lines = difflib.unified_diff(
        _format_lines(current.text) if current.text else [],
        _format_lines(text),
        f"version {current.version}",
        "your draft",
        lineterm="",
    )
    return console_pages.Conflict(current.version, "\n".join(lines))


def _format_lines(text: bytes) -> list[str]:
    """Returns a valid document as lines of JSON, with defaults written out."""
    return document.parse(text).model_dump_json(indent=2).splitlines()


async def _respond_with_page(
    page: console_pages.Page, instance_list: instances.InstanceList
) -> responses.Response:
    page.upstreams = await _list_upstreams(instance_list)
    return _respond(console_pages.render(page))


async def _list_upstreams(instance_list: instances.InstanceList) -> list[str]:
    try:
        instance_by_id = await instance_list.fetch()
    except errors.InstanceListError as error:
        return [f"not available at the moment: {error}"]
    return sorted(
        f"{instance.service}: {instance.upstream} ({instance.state.value})"
        for instance in instance_by_id.values()
        if instance.role is instances.Role.AGENT
    )


def _respond(page: str, status_code: int = 200) -> responses.Response:
    return responses.HTMLResponse(page, status_code, HEADERS)
