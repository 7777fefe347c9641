"""Turns the fields of a form into a draft of the configuration document.

A draft is what the document's JSON holds, whether or not it is valid. A path names a
part of it as the faults do, such as `client_accounts[0].share`; the fields of the form
have the paths as their names. The form follows from the document's classes.
"""

import dataclasses
import datetime
import enum
import inspect
import json
import math
import re
import secrets
import typing

from teaselsill import document, errors, settings

KEY_BYTES = 24

Draft = dict[str, typing.Any]
Model = type[settings.Section]

PART = re.compile(r"[^.\[\]]+")
ATTRIBUTE = re.compile(r"^    (\w+): (.+(?:\n {6,}.+)*)", re.MULTILINE)


class MalformedFormError(errors.ConfigurationError):
    """The fields do not come from a form of the console."""


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A line of text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Number:
    """A whole or decimal number."""


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """A date."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """One of some values."""

    options: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Lines:
    """Any number of texts, one a line."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A part with fields of its own."""

    model: Model


@dataclasses.dataclass(frozen=True, slots=True)
class Groups:
    """Any number of like parts with fields of their own."""

    model: Model


FieldType = Text | Number | Day | Choice | Lines | Group | Groups


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A field of a part of the document.

    Attributes:
        name: Its key in the JSON.
        path: Its path in the document.
        type: What it holds.
        help: What it means, from the class's doc comment.
        default: What holds if it is left empty; empty if it must be given.
    """

    name: str
    path: str
    type: FieldType
    help: str
    default: str


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """An API key that is shown once.

    Attributes:
        account: The client account.
        key: The key.
    """

    account: str
    key: str


def list_fields(model: Model, path: str) -> list[Field]:
    """Returns the fields of a part of the document that stands at a path."""
    help_by_name = dict(ATTRIBUTE.findall(inspect.cleandoc(model.__doc__ or "")))
    return [
        Field(
            name,
            f"{path}.{name}" if path else name,
            _find_field_type(info.annotation),
            " ".join(help_by_name.get(name, "").split()),
            _describe_default(info.default),
        )
        for name, info in model.model_fields.items()
    ]


def _find_field_type(annotation: typing.Any) -> FieldType:
    if typing.get_origin(annotation) is list:
        match _find_field_type(typing.get_args(annotation)[0]):
            case Group(model):
                return Groups(model)
            case _:
                return Lines()
    if not isinstance(annotation, type):
        return Text()
    if issubclass(annotation, settings.Section):
        return Group(annotation)
    if issubclass(annotation, enum.Enum):
        return Choice(tuple(option.value for option in annotation))
    if annotation in (int, float):
        return Number()
    return Day() if annotation is datetime.date else Text()


def _describe_default(default: typing.Any) -> str:
    match default:
        case enum.Enum():
            return str(default.value)
        case settings.Section():
            return str(default)
        case int() | float() | str():
            return str(default)
        case _:
            return ""


def parse_fields(fields: typing.Iterable[tuple[str, str]]) -> Draft:
    """Returns the draft that the fields of a form hold.

    Raises:
        MalformedFormError: The names of the fields contradict each other.
    """
    tree: dict = {}
    for name, value in fields:
        _plant(tree, name, value)
    return _read_group(document.Document, tree)


def _plant(tree: dict, name: str, value: str) -> None:
    *parents, last = PART.findall(name) or [""]
    for parent in parents:
        tree = tree.setdefault(parent, {})
        if not isinstance(tree, dict):
            raise MalformedFormError(f"the form's field {name!r} has no place")
    tree[last] = value


def _read_group(model: Model, tree: typing.Any) -> Draft:
    if not isinstance(tree, dict):
        raise MalformedFormError("a part of the form is a single field")
    draft = {}
    for field in list_fields(model, ""):
        value = _read_value(field.type, tree.get(field.name))
        if value is not None:
            draft[field.name] = value
    return draft


def _read_value(field_type: FieldType, raw: typing.Any) -> typing.Any:
    match field_type:
        case Groups(model):
            return [_read_group(model, part) for part in _read_parts(raw)]
        case Group(model):
            return _read_group(model, raw or {}) or None
        case Lines():
            lines = _read_text(raw).replace(",", "\n").splitlines()
            return [line.strip() for line in lines if line.strip()]
        case Number():
            return _read_number(_read_text(raw))
        case Text() | Day() | Choice():
            return _read_text(raw) or None


def _read_parts(raw: typing.Any) -> list:
    if raw is None:
        return []
    if not isinstance(raw, dict) or not all(key.isdecimal() for key in raw):
        raise MalformedFormError("the parts of the form are not numbered")
    return [raw[key] for key in sorted(raw, key=lambda key: (len(key), key))]


def _read_text(raw: typing.Any) -> str:
    if not isinstance(raw, str | None):
        raise MalformedFormError("a field of the form has parts")
    return (raw or "").strip()


def _read_number(text: str) -> int | float | str | None:
    for convert in (int, float):
        try:
            number = convert(text)
        except ValueError:
            continue
        if math.isfinite(number):
            return number
    return text or None


def to_json(draft: Draft) -> bytes:
    """Returns the document that the draft stands for."""
    return json.dumps(draft, indent=2, ensure_ascii=False).encode() + b"\n"


def add(draft: Draft, path: str) -> None:
    """Adds an empty part to the list at a path.

    Raises:
        MalformedFormError: There is no such list.
    """
    _find_list(draft, PART.findall(path)).append({})


def remove(draft: Draft, path: str) -> None:
    """Removes the part at a path.

    Raises:
        MalformedFormError: There is no such part.
    """
    *parents, last = PART.findall(path) or [""]
    parts = _find_list(draft, parents)
    try:
        del parts[int(last)]
    except (IndexError, ValueError):
        raise MalformedFormError(f"the form has no part {path!r}") from None


def add_key(draft: Draft, path: str) -> NewKey:
    """Makes a new API key for the client account at a path.

    The draft takes its hash only; the key is kept nowhere.

    Raises:
        MalformedFormError: There is no such client account.
    """
    hashes = _find_list(draft, [*PART.findall(path), "key_hashes"])
    key = secrets.token_urlsafe(KEY_BYTES)
    hashes.append(document.hash_key(key))
    account = _find(draft, PART.findall(path))
    return NewKey(str(account.get("id", path)), key)


def _find_list(draft: Draft, parts: list[str]) -> list:
    found = _find(draft, parts)
    if not isinstance(found, list):
        raise MalformedFormError(f"the form has no list at {parts}")
    return found


def _find(draft: Draft, parts: list[str]) -> typing.Any:
    found: typing.Any = draft
    try:
        for part in parts:
            found = found[int(part)] if isinstance(found, list) else found[part]
    except (LookupError, TypeError, ValueError):
        raise MalformedFormError(f"the form has nothing at {parts}") from None
    return found


def list_paths(draft: Draft) -> list[str]:
    """Returns every path of the form, the outer ones before the inner ones."""
    return list(_walk(document.Document, draft, ""))


def _walk(model: Model, draft: Draft, path: str) -> typing.Iterator[str]:
    for field in list_fields(model, path):
        yield field.path
        match field.type:
            case Group(inner):
                yield from _walk(inner, draft.get(field.name, {}), field.path)
            case Groups(inner):
                for number, part in enumerate(draft.get(field.name, [])):
                    yield f"{field.path}[{number}]"
                    yield from _walk(inner, part, f"{field.path}[{number}]")


def group_faults(faults: list[str], draft: Draft) -> dict[str, list[str]]:
    """Returns the faults by the innermost path of the form that they belong to.

    Those that belong to no path are filed under the empty path.
    """
    paths = list_paths(draft)
    faults_by_path: dict[str, list[str]] = {}
    for fault in faults:
        named = fault.partition(": ")[0]
        matching = [path for path in paths if _is_within(named, path)]
        innermost = max(matching, key=len, default="")
        faults_by_path.setdefault(innermost, []).append(fault)
    return faults_by_path


def _is_within(named: str, path: str) -> bool:
    return named == path or named.startswith((f"{path}.", f"{path}["))
