"""Converts between the fields of a form and a draft of the configuration document.

A draft is the document as plain JSON data, which may be invalid. A path such as
`client_accounts[0].share` identifies a part of the draft, in the notation of the
validation errors; it is also the name of the form's field. The fields of the form are
derived from the classes of the document.
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

PATH_PART = re.compile(r"[^.\[\]]+")
DOC_ATTRIBUTE = re.compile(r"^    (\w+): (.+(?:\n {6,}.+)*)", re.MULTILINE)


class MalformedFormError(errors.ConfigurationError):
    """The fields were not submitted by a form of the console."""


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A single line of text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Number:
    """An integer or a decimal number."""


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """A date."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """One of a set of values."""

    options: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Lines:
    """A list of strings, one per line."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """An object with fields of its own."""

    model: Model


@dataclasses.dataclass(frozen=True, slots=True)
class Groups:
    """A list of objects of one class."""

    model: Model


FieldType = Text | Number | Day | Choice | Lines | Group | Groups


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A field of the document.

    Attributes:
        name: Its key in the JSON object.
        path: Its path in the document.
        type: The type of its value.
        help: Its description, from the doc comment of the class.
        default: The value used if the field is left empty; empty if it is required.
    """

    name: str
    path: str
    type: FieldType
    help: str
    default: str


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """A new API key, which is shown to the operator once.

    Attributes:
        account: The id of the client account.
        key: The key in plain text.
    """

    account: str
    key: str


def list_fields(model: Model, path: str) -> list[Field]:
    """Returns the fields of the object of class `model` at a path."""
    help_by_name = dict(DOC_ATTRIBUTE.findall(inspect.cleandoc(model.__doc__ or "")))
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
    """Returns the draft that the fields of a submitted form represent.

    Raises:
        MalformedFormError: The names of the fields do not fit together.
    """
    tree: dict = {}
    for name, value in fields:
        _insert(tree, name, value)
    return _parse_group(document.Document, tree)


def _insert(tree: dict, name: str, value: str) -> None:
    *parents, last = PATH_PART.findall(name) or [""]
    for parent in parents:
        tree = tree.setdefault(parent, {})
        if not isinstance(tree, dict):
            raise MalformedFormError(
                f"the form's field {name!r} is inside a field that has a value"
            )
    tree[last] = value


def _parse_group(model: Model, tree: typing.Any) -> Draft:
    if not isinstance(tree, dict):
        raise MalformedFormError("the form has a single field in place of a group")
    draft = {}
    for field in list_fields(model, ""):
        value = _parse_value(field.type, tree.get(field.name))
        if value is not None:
            draft[field.name] = value
    return draft


def _parse_value(field_type: FieldType, raw: typing.Any) -> typing.Any:
    match field_type:
        case Groups(model):
            return [_parse_group(model, item) for item in _sort_items(raw)]
        case Group(model):
            return _parse_group(model, raw or {}) or None
        case Lines():
            lines = _parse_text(raw).replace(",", "\n").splitlines()
            return [line.strip() for line in lines if line.strip()]
        case Number():
            return _parse_number(_parse_text(raw))
        case Text() | Day() | Choice():
            return _parse_text(raw) or None


def _sort_items(raw: typing.Any) -> list:
    if raw is None:
        return []
    if not isinstance(raw, dict) or not all(key.isdecimal() for key in raw):
        raise MalformedFormError("the items of a list in the form are not numbered")
    return [raw[key] for key in sorted(raw, key=lambda key: (len(key), key))]


def _parse_text(raw: typing.Any) -> str:
    if not isinstance(raw, str | None):
        raise MalformedFormError("the form has a group in place of a single field")
    return (raw or "").strip()


def _parse_number(text: str) -> int | float | str | None:
    for convert in (int, float):
        try:
            number = convert(text)
        except ValueError:
            continue
        if math.isfinite(number):
            return number
    return text or None


def to_json(draft: Draft) -> bytes:
    """Returns the draft encoded as indented JSON."""
    return json.dumps(draft, indent=2, ensure_ascii=False).encode() + b"\n"


def add(draft: Draft, path: str) -> None:
    """Appends an empty item to the list at a path.

    Raises:
        MalformedFormError: There is no such list.
    """
    _find_list(draft, PATH_PART.findall(path)).append({})


def remove(draft: Draft, path: str) -> None:
    """Removes the list item at a path.

    Raises:
        MalformedFormError: There is no such item.
    """
    *parents, last = PATH_PART.findall(path) or [""]
    items = _find_list(draft, parents)
    try:
        del items[int(last)]
    except (IndexError, ValueError):
        raise MalformedFormError(f"the form has no item {path!r}") from None


def add_key(draft: Draft, path: str) -> NewKey:
    """Generates an API key for the client account at a path.

    Only the hash of the key is added to the draft; the key itself is not stored.

    Raises:
        MalformedFormError: There is no such client account.
    """
    hashes = _find_list(draft, [*PATH_PART.findall(path), "key_hashes"])
    key = secrets.token_urlsafe(KEY_BYTES)
    hashes.append(document.hash_key(key))
    account = _find(draft, PATH_PART.findall(path))
    return NewKey(str(account.get("id", path)), key)


def _find_list(draft: Draft, path_parts: list[str]) -> list:
    found = _find(draft, path_parts)
    if not isinstance(found, list):
        raise MalformedFormError(f"the form has no list at {path_parts}")
    return found


def _find(draft: Draft, path_parts: list[str]) -> typing.Any:
    found: typing.Any = draft
    try:
        for part in path_parts:
            found = found[int(part)] if isinstance(found, list) else found[part]
    except (LookupError, TypeError, ValueError):
        raise MalformedFormError(f"the form has nothing at {path_parts}") from None
    return found


def list_paths(draft: Draft) -> list[str]:
    """Returns the paths of all parts of a draft, each before the paths inside it."""
    return list(_iterate_paths(document.Document, draft, ""))


def _iterate_paths(model: Model, draft: Draft, path: str) -> typing.Iterator[str]:
    for field in list_fields(model, path):
        yield field.path
        match field.type:
            case Group(inner):
                yield from _iterate_paths(inner, draft.get(field.name, {}), field.path)
            case Groups(inner):
                for index, item in enumerate(draft.get(field.name, [])):
                    yield f"{field.path}[{index}]"
                    yield from _iterate_paths(inner, item, f"{field.path}[{index}]")


def group_faults(faults: list[str], draft: Draft) -> dict[str, list[str]]:
    """Groups faults by the longest path of the draft that contains their own.

    Faults outside every path are grouped under the empty path.
    """
    paths = list_paths(draft)
    faults_by_path: dict[str, list[str]] = {}
    for fault in faults:
        fault_path = fault.partition(": ")[0]
        matching = [path for path in paths if _is_within(fault_path, path)]
        innermost = max(matching, key=len, default="")
        faults_by_path.setdefault(innermost, []).append(fault)
    return faults_by_path


def _is_within(fault_path: str, path: str) -> bool:
    return fault_path == path or fault_path.startswith((f"{path}.", f"{path}["))
