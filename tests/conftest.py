"""Tests that are known to fail for a real fault: named in KNOWN-RED.txt, expected to fail, and printed.

A line is `test, cause, issue`, the test as pytest names it. All other tests must pass, and one that is
named but passes fails the run: it is to be taken off the list.
"""

import re
from pathlib import Path

import pytest

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LINES = 3


def known_red(text):
    """The causes by the test's name; more lines than are allowed, or one without its parts, is an error."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    found = [re.fullmatch(r"([^,\s]+), (.+), (\S+)", line) for line in lines]
    if len(lines) > MAX_LINES or not all(found):
        raise pytest.UsageError(f"KNOWN-RED.txt: at most {MAX_LINES} lines of test, cause, issue")
    return {match[1]: f"{match[2]} (issue {match[3]})" for match in found}


def _listed():
    return known_red(LIST.read_text()) if LIST.exists() else {}


def pytest_terminal_summary(terminalreporter):
    for test, cause in _listed().items():
        terminalreporter.write_line(f"known red: {test}: {cause}")


def pytest_collection_modifyitems(config, items):
    listed = _listed()
    for item in items:
        if cause := listed.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
    whole = config.args_source is not config.ArgsSource.ARGS and not config.option.keyword
    if whole and (missing := listed.keys() - {item.nodeid for item in items}):
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(sorted(missing))}")
