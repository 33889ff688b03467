"""Formatting of numbers and tables for docs/CAPACITY.md."""

import collections.abc

UNITS = (('T', 1e12), ('G', 1e9), ('M', 1e6))
# Shown for a value that is unknown or does not apply.
DASH = '–'
# From this value on a number is shown with a unit; 999,500 rounds to 1 M at three significant figures.
NEEDS_UNIT = 999500
# Numbers closer to zero than this are noise and shown as 0.
ZERO_TOLERANCE = 5e-7


def three_figures(value: float | None) -> str:
    """Return a number with three significant figures; a dash for None."""
    if value is None:
        return DASH
    if value == 0 or abs(value) < ZERO_TOLERANCE:
        return '0'
    if abs(value) >= NEEDS_UNIT:
        for unit, size in UNITS:
            if abs(value) >= size * 0.9995:
                return f'{value / size:.3g} {unit}'
    if abs(value) >= 1000:
        return f'{float(f"{value:.3g}"):,.0f}'
    return f'{value:.3g}'


def table(head: tuple[str, ...], rows: collections.abc.Iterable[tuple]) -> str:
    """Return a table in Markdown."""
    lines = [markdown_row(head), '|' + '---|' * len(head)]
    return '\n'.join(lines + [markdown_row(row) for row in rows])


def markdown_row(cells: tuple) -> str:
    """Return a row of a table in Markdown."""
    return '| ' + ' | '.join(str(cell) for cell in cells) + ' |'


def verdict(is_met: bool | None) -> str:
    """Return the text that says if a budget is met; a dash if there is no budget."""
    if is_met is None:
        return DASH
    return 'met' if is_met else '**not met**'
