"""Tests of the README and the pages under docs/: the example runs, and the names in the pages exist."""

import ast
import re
from pathlib import Path

import pytest
from helpers.repository import ROOT

SOURCE_FOLDERS = ("function_router", "soak", "tests")
FOLDERS = ("deploy", "docs", *SOURCE_FOLDERS)
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]

FILE_IN_PAGE = re.compile(r"`([\w./-]+\.(?:c|md|py|sh|toml))`")
TEST_IN_PAGE = re.compile(r"`(test_\w+)`")
TEST_IN_CODE = re.compile(r"^def (test_\w+)\(", re.MULTILINE)
NAME_IN_PAGE = re.compile(r"`([A-Za-z_][\w.]*)(?:\(\))?`")
NAMES_FROM_ELSEWHERE = {"lbreal", "SITE", "compare_decisions"}  # tools of the operator and their arguments

# The first cell of each row in the table of log lines has sample lines, in which words in capitals are
# placeholders for values.
LOG_TABLE_HEADING = "## Reading the log on call"
SAMPLE = re.compile(r"`([^`]+)`")
FIXED_WORDS = re.compile(r"[a-z]+(?: [a-z]+)*")

each_page = pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))


def ends_with(path, name):
    """Return whether a path ends with a file name, which may include parent folders."""
    parts = Path(name).parts
    return path.parts[-len(parts) :] == parts


def test_readme_example_runs(capsys):
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL).group(1)

    exec(compile(code, "README.md", "exec"), {})

    assert "SendRequest(request_id='r1'" in capsys.readouterr().out


def test_ci_runs_the_check_that_the_readme_names():
    [check] = [line for line in (ROOT / "README.md").read_text().splitlines() if "pytest" in line]

    assert (ROOT / ".ci" / "run").read_text().splitlines()[-1] == check.strip()


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


@each_page
def test_names_that_a_page_takes_from_the_code_are_there(page):
    sources = [path.read_text() for folder in SOURCE_FOLDERS for path in (ROOT / folder).rglob("*.py")]
    words_of_the_code = {word for source in sources for word in re.findall(r"\w+", source)}

    names = [
        name for name in NAME_IN_PAGE.findall(page.read_text()) if not FILE_IN_PAGE.fullmatch(f"`{name}`")
    ]
    words = {word for name in names for word in name.split(".")}

    assert words - NAMES_FROM_ELSEWHERE <= words_of_the_code


def explained_log_lines():
    """Return the sample lines from the first cells of the table of log lines."""
    table = (ROOT / "docs" / "architecture.md").read_text().partition(LOG_TABLE_HEADING)[2]
    first_cells = [line.split(" | ")[0] for line in table.splitlines() if line.startswith("| `")]
    return [sample for cell in first_cells for sample in SAMPLE.findall(cell)]


def string_literals(path):
    """Return the string literals of a module and the constant parts of its f-strings, without docstrings."""
    nodes = list(ast.walk(ast.parse(path.read_text())))
    doc_comments = {id(node.value) for node in nodes if isinstance(node, ast.Expr)}
    literals = [node for node in nodes if isinstance(node, ast.Constant) and isinstance(node.value, str)]
    return [literal.value for literal in literals if id(literal) not in doc_comments]


def test_log_lines_that_the_architecture_page_explains_are_in_the_code():
    modules = (ROOT / "function_router").rglob("*.py")
    literals = [literal for path in modules for literal in string_literals(path)]

    samples = explained_log_lines()

    assert samples
    for sample in samples:
        for words in FIXED_WORDS.findall(sample):
            assert any(words in literal for literal in literals), f"{words!r} of {sample!r}"
