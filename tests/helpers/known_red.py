"""Reads KNOWN-RED.txt, the list of tests that are known to fail for a real fault.

A line is `test, cause, issue`, where the test is named as pytest names it.
"""

import re

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_TESTS = 3
LINE = re.compile(r"(?P<test>[^,\s]+), (?P<cause>.+), (?P<issue>\S+)")


class InvalidKnownRedError(pytest.UsageError):
    """KNOWN-RED.txt has too many lines, or one without its parts."""

    def __init__(self):
        super().__init__(f"{FILE_NAME}: at most {MAX_TESTS} lines of test, cause, issue")


class UnknownTestsError(pytest.UsageError):
    """KNOWN-RED.txt names tests that don't exist."""

    def __init__(self, names):
        super().__init__(f"{FILE_NAME} names no test: {', '.join(sorted(names))}")


def read_known_red(root):
    """The causes by the tests' names, empty where there is no such file; raises InvalidKnownRedError."""
    path = root / FILE_NAME
    return parse_known_red(path.read_text()) if path.exists() else {}


def parse_known_red(text):
    """The causes, each with its issue, by the tests' names; raises InvalidKnownRedError."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    matches = [LINE.fullmatch(line) for line in lines]
    if len(lines) > MAX_TESTS or not all(matches):
        raise InvalidKnownRedError
    return {match["test"]: f"{match['cause']} (issue {match['issue']})" for match in matches}
