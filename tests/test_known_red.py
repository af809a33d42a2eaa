"""Tests of KNOWN-RED.txt, the list of tests that have to fail. All other tests have to pass."""

import os
import shutil
import subprocess
import sys

import pytest
from helpers.repository import ROOT, TESTS

FAILING_TEST_LINE = "tests/test_one.py::test_red, the cause, in short, 5\n"
PASSING_TEST_LINE = "tests/test_one.py::test_good, the cause, in short, 5\n"


@pytest.fixture
def run_pytest_with_known_red(tmp_path):
    """A function that runs a failing and a passing test with the conftest.py of the repository and a list."""
    (tmp_path / "tests").mkdir()
    shutil.copy(TESTS / "conftest.py", tmp_path / "tests")
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests" / "test_one.py").write_text("def test_red(): assert 0\ndef test_good(): pass\n")
    environment = {**os.environ, "PYTHONPATH": f"{ROOT}{os.pathsep}{TESTS}"}  # for the package and helpers

    def run(known_red):
        (tmp_path / "KNOWN-RED.txt").write_text(known_red)
        return subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
            cwd=tmp_path,
            env=environment,
            capture_output=True,
            check=False,
            text=True,
        )

    return run


@pytest.mark.parametrize(
    ("known_red", "status"),
    [
        pytest.param("", pytest.ExitCode.TESTS_FAILED, id="failing test not listed"),
        pytest.param(FAILING_TEST_LINE, pytest.ExitCode.OK, id="failing test listed"),
        pytest.param(PASSING_TEST_LINE, pytest.ExitCode.TESTS_FAILED, id="passing test listed"),
        pytest.param(FAILING_TEST_LINE + PASSING_TEST_LINE, pytest.ExitCode.TESTS_FAILED, id="both listed"),
        pytest.param(4 * FAILING_TEST_LINE, pytest.ExitCode.USAGE_ERROR, id="too many lines"),
        pytest.param("tests/no, x, 5", pytest.ExitCode.USAGE_ERROR, id="no such test"),
    ],
)
def test_listed_tests_must_fail_and_all_others_must_pass(run_pytest_with_known_red, known_red, status):
    run = run_pytest_with_known_red(known_red)

    assert run.returncode == status, run.stdout + run.stderr


def test_cause_of_a_known_failure_is_printed(run_pytest_with_known_red):
    run = run_pytest_with_known_red(FAILING_TEST_LINE)

    assert run.returncode == pytest.ExitCode.OK
    assert "the cause, in short (issue 5)" in run.stdout


@pytest.mark.parametrize(
    ("known_red", "message"),
    [
        pytest.param(4 * FAILING_TEST_LINE, "at most 3 lines of test, cause, issue", id="too many lines"),
        pytest.param("tests/test_one.py::test_red\n", "at most 3 lines of test, cause, issue", id="no cause"),
        pytest.param("tests/no, x, 5", "names no test: tests/no", id="no such test"),
    ],
)
def test_error_in_known_red_is_reported(run_pytest_with_known_red, known_red, message):
    run = run_pytest_with_known_red(known_red)

    assert run.returncode == pytest.ExitCode.USAGE_ERROR
    assert message in run.stdout + run.stderr
