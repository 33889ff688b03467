"""Loads and saves measured figures: the JSON files in docs/capacity."""

import json
import os

FOLDER = 'docs/capacity'
POINTS = f'{FOLDER}/points.json'
LOOPBACK = f'{FOLDER}/loopback.json'

# Significant figures of a recorded number.
FIGURES = 5


def load(path: str = POINTS) -> dict:
    """Return the content of a file; an empty dict if it does not exist."""
    try:
        with open(path, encoding='utf-8') as file:
            return json.load(file)
    except FileNotFoundError:
        return {}


def save(document: dict, path: str = POINTS) -> None:
    """Replace a file atomically, with its numbers rounded."""
    os.makedirs(os.path.dirname(path), exist_ok=True)
    with open(path + '.tmp', 'w', encoding='utf-8') as file:
        json.dump(rounded(document), file, indent=1)
        file.write('\n')
    os.rename(path + '.tmp', path)


def rounded(value):
    """Return a JSON value with every float in it rounded."""
    if isinstance(value, float):
        return float(f'{value:.{FIGURES}g}')
    if isinstance(value, dict):
        return {key: rounded(part) for key, part in value.items()}
    if isinstance(value, list):
        return [rounded(part) for part in value]
    return value
