"""Validation of JSON documents from outside: collects all errors, each with its path, not only the first."""

import re
import typing

import zinctrail.errors as errors

NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._/:-]{0,99}\Z')
MAX_LABEL_LENGTH = 200


class FieldError(typing.NamedTuple):
    """An error in a document, and its place."""

    # The path from the root `$`, such as `$.rules.checkout.pool`.
    path: str
    text: str


def validation_error(text: str, field_errors: list[FieldError]) -> errors.BadRequestError:
    """Return the refusal of an invalid document, with its errors listed in the JSON body."""
    return errors.BadRequestError(text, faults=[{'path': error.path, 'fault': error.text} for error in field_errors])


class DocumentChecks:
    """Checks shared by all documents; each adds the errors that it finds to `field_errors`."""

    def __init__(self):
        self.field_errors: list[FieldError] = []

    def add(self, path: str, text: str) -> None:
        """Record an error."""
        self.field_errors.append(FieldError(path, text))

    def fields(
        self, path: str, document: typing.Any, known: typing.Collection[str], required: typing.Iterable[str] = ()
    ) -> bool:
        """Check that a document is an object with known fields only; True if it is an object at all."""
        if not isinstance(document, dict):
            self.add(path, 'must be an object')
            return False
        for key in document:
            if key not in known:
                self.add(f'{path}.{key}', 'is not a known field')
        for key in required:
            if key not in document:
                self.add(f'{path}.{key}', 'is missing')
        return True

    def name(self, path: str, value: typing.Any) -> None:
        """Check the name of an object that the document declares."""
        if not isinstance(value, str) or not NAME.match(value):
            self.add(path, 'must be a name: a letter or digit, then letters, digits and . _ / : -, up to 100')

    def whole_number(self, path: str, value: typing.Any, low: int, high: int) -> None:
        """Check an integer from `low` to `high`."""
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            self.add(path, f'must be a whole number from {low} to {high}')

    def boolean(self, path: str, value: typing.Any) -> None:
        """Check a boolean."""
        if not isinstance(value, bool):
            self.add(path, 'must be true or false')

    def is_amount(self, path: str, value: typing.Any, high: float) -> bool:
        """Check a number from 0 to `high`, integer or float; True if it is valid."""
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value <= high:
            self.add(path, 'must be a number, 0 or more')
            return False
        return True

    def objects(self, path: str, rows: typing.Any) -> typing.Iterator[tuple[str, dict]]:
        """Yield the objects in a list, each with its path; any other element is an error."""
        if not isinstance(rows, list):
            self.add(path, 'must be a list')
            return
        for index, row in enumerate(rows):
            if isinstance(row, dict):
                yield f'{path}[{index}]', row
            else:
                self.add(f'{path}[{index}]', 'must be an object')

    def labels(self, path: str, document: typing.Any, allows_lists: bool = True) -> None:
        """Check {label: value}; a selector's value may also be a list of values."""
        if not isinstance(document, dict):
            self.add(path, 'must be an object')
            return
        for label, value in document.items():
            label_path = f'{path}.{label}'
            self.name(label_path, label)
            if allows_lists and isinstance(value, list):
                self._label_list(label_path, value)
            else:
                self._label_value(label_path, value)

    def _label_list(self, path: str, values: list) -> None:
        if not values:
            self.add(path, 'must not be an empty list')
        for index, value in enumerate(values):
            self._label_value(f'{path}[{index}]', value)

    def _label_value(self, path: str, value: typing.Any) -> None:
        if not isinstance(value, str) or len(value) > MAX_LABEL_LENGTH:
            self.add(path, f'must be a text up to {MAX_LABEL_LENGTH}')
