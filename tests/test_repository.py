"""Tests of the repository: limits on the decision module, the README's example, the build, KNOWN-RED.txt."""

import ast
import os
import re
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = ROOT / "tests"
PACKAGE = ROOT / "function_router"
DEPLOYMENT = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
DECISION_FILES = DEPLOYMENT["policy"]
GENERAL_MODULES = ["statistics", "limits", "hashing"]  # structures that the decisions use
GENERAL_FILES = [f"function_router/{name}.py" for name in GENERAL_MODULES]

# Modules of decisions/ that only declare types: whatever decides or keeps state is listed under `policy`.
DECLARATIVE_MODULES = {"__init__.py", "actions.py", "events.py", "settings.py", "types.py"}
MAX_LINE_LENGTH = 110

# What decisions may import: nothing with a clock, a random source or a socket.
ALLOWED_IMPORTS = {
    "collections",
    "collections.abc",
    "dataclasses",
    "hashlib",
    "itertools",
    "math",
    "msgspec",
    "function_router.decisions",
    "function_router.decisions.actions",
    "function_router.decisions.events",
    "function_router.decisions.settings",
    "function_router.decisions.state",
    "function_router.decisions.types",
    *(f"function_router.{name}" for name in GENERAL_MODULES),
}

# Names of earlier versions, put together here so that this file does not contain them.
WITHDRAWN_NAMES = {
    "package": re.compile("fawn" + "wharf", re.IGNORECASE),
    "worker": re.compile("sco" + "rer", re.IGNORECASE),
    "bound": re.compile(r"\w_(MOST|LEAST)\b"),
    "notified": re.compile("(?<![a-z])to" + "ld(?![a-z])", re.IGNORECASE),
}


def read(path):
    return (ROOT / path).read_text()


@pytest.fixture(scope="module")
def decision_source():
    """The files of the decision module, one after the other."""
    return "\n".join(read(path) for path in DECISION_FILES)


# --- the deploy file


@pytest.mark.parametrize("path", [*DEPLOYMENT["policy"], *DEPLOYMENT["node"]])
def test_path_of_the_deploy_file_exists(path):
    assert (ROOT / path).exists()


# --- limits on the decision module


def test_lines_of_the_decision_module_are_short(decision_source):
    assert max(len(line) for line in decision_source.splitlines()) <= MAX_LINE_LENGTH


@pytest.mark.parametrize("path", sorted((PACKAGE / "decisions").glob("*.py")), ids=lambda path: path.name)
def test_module_that_decides_or_keeps_state_is_listed_under_policy(path):
    is_listed = str(path.relative_to(ROOT)) in DECISION_FILES
    functions = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.FunctionDef)]
    decides = [node.name for node in functions if "property" not in map(ast.unparse, node.decorator_list)]

    assert is_listed or (path.name in DECLARATIVE_MODULES and decides == [])


def imported_modules(tree):
    """The names of all modules that are imported, at the top or elsewhere."""
    modules = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            modules.add(node.module)
    return modules


def called_names(tree):
    """The plain names that are called, such as those of builtins."""
    calls = [node for node in ast.walk(tree) if isinstance(node, ast.Call)]
    return {call.func.id for call in calls if isinstance(call.func, ast.Name)}


@pytest.mark.parametrize("path", [*DECISION_FILES, *GENERAL_FILES])
def test_decisions_have_no_clock_random_source_socket_or_builtin_hash(path):
    tree = ast.parse(read(path))

    assert imported_modules(tree) <= ALLOWED_IMPORTS
    assert "hash" not in called_names(tree)


@pytest.mark.parametrize("call", ["SendRequest(", "self._send("])
def test_decision_module_has_one_place_that_sends(call, decision_source):
    assert decision_source.count(call) == 1


# --- names and the README


@pytest.mark.parametrize("pattern", WITHDRAWN_NAMES.values(), ids=WITHDRAWN_NAMES)
def test_package_and_tests_use_no_withdrawn_name(pattern):
    uses = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for folder in (PACKAGE, TESTS)
        for path in sorted(folder.rglob("*.py"))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if pattern.search(line)
    ]

    assert uses == []


def test_readme_example_runs(capsys):
    code = re.search(r"```python\n(.*?)```", read("README.md"), re.DOTALL).group(1)

    exec(compile(code, "README.md", "exec"), {})

    assert "SendRequest(request_id='r1'" in capsys.readouterr().out


# --- the build

# Stands in for `python3 -m venv .venv`, and notes in the environment how many it has made.
VENV_STUB = """#!/bin/sh
echo x >> "$0.made"
mkdir -p .venv/bin
ln -s /bin/true .venv/bin/python
ln -s /bin/true .venv/bin/pip
wc -l < "$0.made" | tr -d " " > .venv/made
"""


@pytest.fixture
def build_root(tmp_path):
    """A repository with the build script, requirements and an environment that is half made."""
    root = tmp_path / "root"
    (root / "deploy").mkdir(parents=True)
    shutil.copy(ROOT / "deploy" / "build.sh", root / "deploy")
    (root / "requirements.txt").write_text("one==1\n")
    (root / ".venv" / "bin").mkdir(parents=True)
    return root


@pytest.fixture
def build(build_root, tmp_path):
    """Run the build script; returns how many environments it has made so far."""
    tools = tmp_path / "tools"
    tools.mkdir()
    stub = tools / "python3"
    stub.write_text(VENV_STUB)
    stub.chmod(0o755)

    def run():
        environment = {"PATH": f"{tools}:/usr/bin:/bin"}
        subprocess.run(["sh", "deploy/build.sh"], cwd=build_root, env=environment, check=True)
        return (build_root / ".venv" / "made").read_text()

    return run


def change_requirements(root):
    (root / "requirements.txt").write_text("one==2\n")


def remove_interpreter(root):
    (root / ".venv" / "bin" / "python").unlink()


def test_build_replaces_a_half_made_environment_and_keeps_a_good_one(build):
    assert build() == "1\n"
    assert build() == "1\n"


@pytest.mark.parametrize("make_stale", [change_requirements, remove_interpreter])
def test_build_replaces_a_stale_environment_once(build, build_root, make_stale):
    build()

    make_stale(build_root)

    assert build() == "2\n"
    assert build() == "2\n"


# --- KNOWN-RED.txt

RED_LINE = "tests/test_one.py::test_red, the cause, in short, 5\n"
GOOD_LINE = "tests/test_one.py::test_good, the cause, in short, 5\n"


@pytest.fixture
def run_pytest_with_known_red(tmp_path):
    """Run a test that fails and one that passes, with the conftest of this repository and a list."""
    (tmp_path / "tests").mkdir()
    for path in TESTS.glob("*.py"):
        if not path.name.startswith("test_"):
            shutil.copy(path, tmp_path / "tests")
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests" / "test_one.py").write_text("def test_red(): assert 0\ndef test_good(): pass\n")

    def run(known_red):
        (tmp_path / "KNOWN-RED.txt").write_text(known_red)
        return subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
            cwd=tmp_path,
            env={**os.environ, "PYTHONPATH": f"{ROOT}{os.pathsep}{TESTS}"},  # the package and the helpers
            capture_output=True,
            check=False,
            text=True,
        )

    return run


@pytest.mark.parametrize(
    ("known_red", "status"),
    [
        pytest.param("", pytest.ExitCode.TESTS_FAILED, id="failing test not listed"),
        pytest.param(RED_LINE, pytest.ExitCode.OK, id="failing test listed"),
        pytest.param(GOOD_LINE, pytest.ExitCode.TESTS_FAILED, id="passing test listed"),
        pytest.param(RED_LINE + GOOD_LINE, pytest.ExitCode.TESTS_FAILED, id="both listed"),
        pytest.param(4 * RED_LINE, pytest.ExitCode.USAGE_ERROR, id="too many lines"),
        pytest.param("tests/no, x, 5", pytest.ExitCode.USAGE_ERROR, id="no such test"),
    ],
)
def test_only_what_known_red_names_may_fail_and_it_must(run_pytest_with_known_red, known_red, status):
    run = run_pytest_with_known_red(known_red)

    assert run.returncode == status, run.stdout + run.stderr


def test_cause_of_a_known_failure_is_printed(run_pytest_with_known_red):
    run = run_pytest_with_known_red(RED_LINE)

    assert run.returncode == pytest.ExitCode.OK
    assert "the cause, in short (issue 5)" in run.stdout


@pytest.mark.parametrize(
    ("known_red", "message"),
    [
        pytest.param(4 * RED_LINE, "at most 3 lines of test, cause, issue", id="too many lines"),
        pytest.param("tests/test_one.py::test_red\n", "at most 3 lines of test, cause, issue", id="no cause"),
        pytest.param("tests/no, x, 5", "names no test: tests/no", id="no such test"),
    ],
)
def test_error_in_known_red_is_reported(run_pytest_with_known_red, known_red, message):
    run = run_pytest_with_known_red(known_red)

    assert run.returncode == pytest.ExitCode.USAGE_ERROR
    assert message in run.stdout + run.stderr
