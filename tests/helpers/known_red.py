"""Reads KNOWN-RED.txt, the list of tests that are expected to fail because of a known fault.

Each line has the form `test, cause, issue`, where `test` is the node id of pytest.
"""

import re

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_TESTS = 3
LINE = re.compile(r"(?P<test>[^,\s]+), (?P<cause>.+), (?P<issue>\S+)")


class InvalidKnownRedError(pytest.UsageError):
    """KNOWN-RED.txt has too many lines, or a line that lacks a part."""

    def __init__(self):
        super().__init__(f"{FILE_NAME}: at most {MAX_TESTS} lines of test, cause, issue")


class UnknownTestsError(pytest.UsageError):
    """KNOWN-RED.txt names tests that do not exist."""

    def __init__(self, names):
        super().__init__(f"{FILE_NAME} names no test: {', '.join(sorted(names))}")


def read_known_red(root):
    """Return the causes by node id; none if the file does not exist.

    Raises:
        InvalidKnownRedError: The file is invalid.
    """
    path = root / FILE_NAME
    return parse_known_red(path.read_text()) if path.exists() else {}


def parse_known_red(text):
    """Return the causes, each with its issue, by node id.

    Raises:
        InvalidKnownRedError: There are too many lines, or a line lacks a part.
    """
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    matches = [LINE.fullmatch(line) for line in lines]
    if len(lines) > MAX_TESTS or not all(matches):
        raise InvalidKnownRedError
    return {match["test"]: f"{match['cause']} (issue {match['issue']})" for match in matches}
