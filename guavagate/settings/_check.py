"""Checks plain data against the schema and collects every problem.

msgspec stops at the first error, so an operator would need one attempt per
mistake. The checker walks the whole data and reports all problems at once.
"""

import difflib
from collections.abc import Callable, Iterator
from typing import Annotated, Any, Final, Literal

import msgspec
from msgspec import inspect as inspected

from guavagate.exceptions import SettingsError
from guavagate.settings._value_kinds import ValueKind, check_kind

_MAX_SHOWN_CHARS: Final = 60


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """One problem in a settings text."""

    source: str
    path: str
    value: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the line that is shown to an operator."""
        shown = f' = {self.value}' if self.value else ''
        return (
            f'{self.source}: {self.path}{shown}: {self.problem}; {self.remedy}'
        )


class SettingsProblemsError(SettingsError):
    """All the problems of one settings text."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__(
            '\n'.join(str(problem) for problem in problems),
            'mend them and try again',
        )
        self.problems = problems

    def __str__(self) -> str:
        """Return one line for each problem."""
        return self.problem


class Checker:
    """Collects the problems of one settings text."""

    def __init__(self, source: str) -> None:
        self._source = source
        self.problems: list[Problem] = []

    def add(self, path: str, value: Any, problem: str, remedy: str) -> None:
        """Add a problem."""
        self.problems.append(
            Problem(
                source=self._source,
                path=path or '(top)',
                value=_show(value),
                problem=problem,
                remedy=remedy,
            )
        )

    def check(self, node: inspected.Type, value: Any, path: str) -> None:
        """Check a value against a schema node, recursively."""
        kind = None
        if isinstance(node, inspected.Metadata):
            kind = (node.extra or {}).get('kind')
            node = node.type
        if isinstance(node, inspected.StructType):
            self._check_struct(node, value, path)
        elif isinstance(node, inspected.VarTupleType):
            self._check_items(node, value, path)
        else:
            self._check_scalar(node, kind, value, path)

    def _check_struct(
        self, node: inspected.StructType, value: Any, path: str
    ) -> None:
        if not isinstance(value, dict):
            self.add(path, value, 'is not a table', 'write it as a table')
            return
        names = {field.name for field in node.fields}
        for key in sorted(value.keys() - names):
            self.add(
                _join(path, key), value[key], *_describe_unknown_key(key, names)
            )
        for field in node.fields:
            if field.name in value:
                below = _join(path, field.name)
                self.check(field.type, value[field.name], below)
            elif field.required:
                self.add(_join(path, field.name), None, 'is missing', 'add it')

    def _check_items(
        self, node: inspected.VarTupleType, value: Any, path: str
    ) -> None:
        if not isinstance(value, list | tuple):
            self.add(path, value, 'is not a list', 'write it as a list')
            return
        for index, item in enumerate(value):
            self.check(node.item_type, item, f'{path}[{index}]')

    def _check_scalar(
        self, node: Any, kind: ValueKind | None, value: Any, path: str
    ) -> None:
        try:
            # The only conversion is of an integer to a float: TOML 1 for 1.0.
            msgspec.convert(value, _python_type(node))
        except msgspec.ValidationError as error:
            text = str(error)
            problem = text[:1].lower() + text[1:]
            self.add(path, value, problem, _scalar_remedy(node))
            return
        if kind is None:
            return
        try:
            check_kind(kind, value)
        except SettingsError as error:
            shown = None if kind is ValueKind.TOKEN_HASH else value
            self.add(path, shown, error.problem, error.remedy)


def check_unique(
    checker: Checker,
    items: tuple[Any, ...],
    path: str,
    key: Callable[[Any], str],
    name: str,
) -> None:
    """Add a problem for each item with the same key as an earlier one."""
    seen: dict[str, int] = {}
    for index, item in enumerate(items):
        first = seen.setdefault(key(item), index)
        if first != index:
            checker.add(
                f'{path}[{index}].{name}',
                None if name == 'token_hash' else key(item),
                f'is the same as {path}[{first}].{name}',
                'make each one unique',
            )


def find_nearest(word: str, known: set[str]) -> str:
    """Return the known word closest to a mistyped one, or an empty text."""
    close = difflib.get_close_matches(word, sorted(known), n=1, cutoff=0.5)
    return close[0] if close else ''


def _describe_unknown_key(key: str, names: set[str]) -> Iterator[str]:
    suggestion = find_nearest(key, names)
    yield 'is not a known key'
    if suggestion:
        yield f'did you mean {suggestion!r}?'
    else:
        yield 'known are {}'.format(', '.join(sorted(names)))


def _python_type(node: Any) -> Any:
    if isinstance(node, inspected.EnumType):
        return node.cls
    if isinstance(node, inspected.LiteralType):
        return Literal[node.values]
    bounds = {
        name: getattr(node, name)
        for name in ('gt', 'ge', 'le')
        if getattr(node, name, None) is not None
    }
    plain = _PYTHON_TYPES[type(node)]
    return Annotated[plain, msgspec.Meta(**bounds)] if bounds else plain


def _scalar_remedy(node: Any) -> str:
    if isinstance(node, inspected.EnumType):
        return _list_choices(member.value for member in node.cls)
    if isinstance(node, inspected.LiteralType):
        return _list_choices(node.values)
    return f'write {_EXAMPLES[type(node)]}'


def _list_choices(values: Any) -> str:
    return 'write one of {}'.format(', '.join(repr(v) for v in values))


_PYTHON_TYPES: Final[dict[type, type]] = {
    inspected.StrType: str,
    inspected.IntType: int,
    inspected.FloatType: float,
    inspected.BoolType: bool,
}
_EXAMPLES: Final[dict[type, str]] = {
    inspected.StrType: 'a text in quotes',
    inspected.IntType: 'a whole number in that range',
    inspected.FloatType: 'a number in that range',
    inspected.BoolType: 'true or false',
}


def _join(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key


def _show(value: Any) -> str:
    if value is None:
        return ''
    text = repr(value)
    return (
        text if len(text) <= _MAX_SHOWN_CHARS else f'{text[:_MAX_SHOWN_CHARS]}…'
    )
