"""Tests of the README and the pages under docs/: the example runs, and what they name exists."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FOLDERS = ("deploy", "docs", "function_router", "soak", "tests")
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]

FILE_IN_PAGE = re.compile(r"`([\w./-]+\.(?:c|md|py|sh|toml))`")
TEST_IN_PAGE = re.compile(r"`(test_\w+)`")
TEST_IN_CODE = re.compile(r"^def (test_\w+)\(", re.MULTILINE)

each_page = pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))


def ends_with(path, name):
    """Whether a path ends with a name of a file, which may have folders before it."""
    parts = Path(name).parts
    return path.parts[-len(parts) :] == parts


def test_readme_example_runs(capsys):
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL).group(1)

    exec(compile(code, "README.md", "exec"), {})

    assert "SendRequest(request_id='r1'" in capsys.readouterr().out


@each_page
def test_files_that_a_page_names_exist(page):
    files = [path for folder in FOLDERS for path in (ROOT / folder).rglob("*.*")]

    named = FILE_IN_PAGE.findall(page.read_text())

    assert [name for name in named if not any(ends_with(path, name) for path in files)] == []


@each_page
def test_tests_that_a_page_names_exist(page):
    sources = [path.read_text() for path in (ROOT / "tests").rglob("test_*.py")]
    tests = {test for source in sources for test in TEST_IN_CODE.findall(source)}

    assert set(TEST_IN_PAGE.findall(page.read_text())) <= tests
