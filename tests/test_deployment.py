"""Tests of the deployment file and of the script that creates the virtual environment."""

import shutil
import subprocess
import tomllib

import pytest
from helpers.repository import ROOT

DEPLOYMENT = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())

# Replaces `python3 -m venv .venv`, and writes the number of environments created so far to .venv/made.
VENV_STUB = """#!/bin/sh
echo x >> "$0.made"
mkdir -p .venv/bin
ln -s /bin/true .venv/bin/python
ln -s /bin/true .venv/bin/pip
wc -l < "$0.made" | tr -d " " > .venv/made
"""


@pytest.mark.parametrize("path", [*DEPLOYMENT["policy"], *DEPLOYMENT["node"]])
def test_path_of_the_deploy_file_exists(path):
    assert (ROOT / path).exists()


@pytest.fixture
def build_root(tmp_path):
    """A repository with the build script, requirements and an incomplete virtual environment."""
    root = tmp_path / "root"
    (root / "deploy").mkdir(parents=True)
    shutil.copy(ROOT / "deploy" / "build.sh", root / "deploy")
    (root / "requirements.txt").write_text("one==1\n")
    (root / ".venv" / "bin").mkdir(parents=True)
    return root


@pytest.fixture
def build(build_root, tmp_path):
    """A function that runs the build script and returns the number of environments created so far."""
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


def test_build_replaces_an_incomplete_environment_and_keeps_a_complete_one(build):
    assert build() == "1\n"
    assert build() == "1\n"


@pytest.mark.parametrize("make_stale", [change_requirements, remove_interpreter])
def test_build_replaces_a_stale_environment_once(build, build_root, make_stale):
    build()

    make_stale(build_root)

    assert build() == "2\n"
    assert build() == "2\n"
