"""Log lines: a sentence for people, then fields, by which one request or election can be followed across processes.

  text   core: Leads term 5. | event=lead term=5 votes=1f..,9c.. by=10.0.0.1:7000
  json   {"at": "2026-01-05T10:00:00.125Z", "level": "info", "text": "core: Leads term 5.", "event": "lead", ...}

`parse` reads both formats. In text lines, values with blanks, quotes or commas
are JSON strings; the items of lists are separated by commas.
"""

import datetime
import json
import logging
import re
import typing

FORMATS = ('text', 'json')
# Between the sentence and the fields.
SEPARATOR = ' | '
# Matches values that need no quotes.
BARE_VALUE = re.compile(r'[A-Za-z0-9_.:/~+-]+\Z')
FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ ]*)')
# The prefix of absl's lines: level, date and time. Log collectors may put text of their own before it.
ABSL_PREFIX = re.compile(r'([IWEF])(\d\d)(\d\d) (\d\d:\d\d:\d\d\.\d+) +\d+ [^\]]*\] (.*)')
LEVELS = {'I': 'info', 'W': 'warning', 'E': 'error', 'F': 'critical'}
JSON_START = '{"at": '

# A parsed line: 'at', 'level', 'text' and the fields, all as text.
Record = dict[str, str]


def encode_value(value) -> str:
    """Format a field's value for a text line; the items of sets are sorted."""
    if isinstance(value, (list, tuple, set, frozenset)):
        items = [str(item) for item in (sorted(value) if isinstance(value, (set, frozenset)) else value)]
        joined = ','.join(items)
        return joined if items and all(BARE_VALUE.match(item) for item in items) else json.dumps(joined)
    text = _yes_or_no(value) if isinstance(value, bool) else str(value)
    return text if BARE_VALUE.match(text) else json.dumps(text)


def text_line(text: str, fields: dict) -> str:
    """Format a text line: a sentence with its fields, without level and time."""
    if not fields:
        return text
    return text + SEPARATOR + ' '.join(f'{name}={encode_value(value)}' for name, value in fields.items())


def json_line(seconds: float, level: str, text: str, fields: dict) -> str:
    """Format a JSON line; `seconds` is the wall-clock time since 1970."""
    stamp = datetime.datetime.fromtimestamp(seconds, datetime.UTC).isoformat(timespec='milliseconds')
    fields = {name: sorted(value) if isinstance(value, (set, frozenset)) else value for name, value in fields.items()}
    return json.dumps({'at': stamp.replace('+00:00', 'Z'), 'level': level, 'text': text, **fields}, default=str)


def parse(line: str) -> Record | None:
    """Parse a line of either format; None for any other line."""
    start = line.find(JSON_START)
    return _parse_json(line[start:]) if start >= 0 else _parse_text(line.rstrip('\n'))


def _parse_json(text: str) -> Record | None:
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        return None
    if not isinstance(document, dict) or not isinstance(document.get('text'), str):
        return None
    return {name: _plain_text(value) for name, value in document.items()}


def _parse_text(line: str) -> Record | None:
    found = ABSL_PREFIX.search(line)
    if not found:
        return None
    level, month, day, clock, rest = found.groups()
    text, separator, tail = rest.partition(SEPARATOR)
    record = {'at': f'{month}-{day}T{clock}', 'level': LEVELS[level], 'text': text}
    for name, value in FIELD.findall(tail) if separator else ():
        if value.startswith('"'):
            try:
                value = json.loads(value)
            except ValueError:
                return None
        record.setdefault(name, value)
    return record


def _plain_text(value) -> str:
    if isinstance(value, list):
        return ','.join(map(str, value))
    return _yes_or_no(value) if isinstance(value, bool) else str(value)


def _yes_or_no(value: bool) -> str:
    return 'yes' if value else 'no'


class LineFormatter(logging.Formatter):
    """Formats log records in one of FORMATS.

    `inner` formats the part of a text line before its fields; `common_fields` are added to every line that has fields.
    """

    def __init__(self, form: str, inner: logging.Formatter, common_fields: typing.Mapping[str, str] | None = None):
        super().__init__()
        self.form = form
        self.inner = inner
        self.common_fields = dict(common_fields or {})

    def format(self, record: logging.LogRecord) -> str:
        """Format a record; its fields are in its attribute `fields`."""
        fields = getattr(record, 'fields', None)
        if self.form == 'json':
            text = record.getMessage()
            if record.exc_info:
                text += '\n' + self.formatException(record.exc_info)
            return json_line(record.created, record.levelname.lower(), text, {**(fields or {}), **self.common_fields})
        text = self.inner.format(record)
        return text_line(text, {**fields, **self.common_fields}) if fields else text


def quiet_libraries():
    """Suppress the routine messages of libraries in the log; their warnings are still logged."""
    logging.getLogger('twisted').setLevel(logging.WARNING)
