"""Parses metrics in the text format of Prometheus."""

import re

ROW = re.compile(r'^zinctrail_(\w+)(?:\{(.*)\})? (\S+)$', re.MULTILINE)
LABEL = re.compile(r'(\w+)="([^"]*)"')


def parse(text: str) -> dict[str, float]:
    """Return {name without the prefix `zinctrail_`, followed by its labels: value}."""
    values = {}
    for name, labels, value in ROW.findall(text):
        label_texts = [f'{label}={content}' for label, content in LABEL.findall(labels)]
        values[' '.join([name, *label_texts])] = float(value)
    return values
