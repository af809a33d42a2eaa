"""Tests of the soak test's shim: its control file, and that it compiles without warnings."""

import re
import shutil
import subprocess
from dataclasses import fields
from struct import unpack

import pytest

from soak.shim import CONTROL_VARIABLE, SOURCE, ShimControl, build

STRICT_FLAGS = ["-shared", "-fPIC", "-O2", "-Wall", "-Wextra", "-Werror"]


def test_control_has_the_fields_of_the_struct_in_its_order():
    struct_body = re.search(r"struct control \{(.*?)\n\};", SOURCE.read_text(), re.DOTALL)[1]

    names = re.findall(r"double (\w+);", struct_body)

    assert names == [field.name for field in fields(ShimControl)]


def test_shim_reads_the_variable_that_names_the_control_file():
    assert f'#define CONTROL_VARIABLE "{CONTROL_VARIABLE}"' in SOURCE.read_text()


def test_control_is_rewritten_in_place(tmp_path):
    path = tmp_path / "control"
    ShimControl().write(path)
    inode = path.stat().st_ino

    ShimControl(offset_before_s=5.0, open_failures=0.5).write(path)

    values = unpack(f"@{len(fields(ShimControl))}d", path.read_bytes())
    assert path.stat().st_ino == inode
    assert (values[0], values[-1], sum(values)) == (5.0, 0.5, 5.5)


@pytest.mark.skipif(shutil.which("cc") is None, reason="no C compiler on this machine")
def test_shim_compiles_without_warnings(tmp_path):
    command = ["cc", *STRICT_FLAGS, "-o", str(tmp_path / "strict.so"), str(SOURCE), "-ldl"]

    strict = subprocess.run(command, capture_output=True, text=True, check=False)

    assert strict.returncode == 0, strict.stderr
    assert build(tmp_path).exists()
