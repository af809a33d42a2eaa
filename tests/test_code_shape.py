"""Tests of the code structure: the maximum size of files, classes and functions, and no import cycles."""

import ast
from graphlib import CycleError, TopologicalSorter

import pytest
from helpers.repository import ROOT, imported_modules

PACKAGES = ("function_router", "soak")

MAX_FILE_LINES = 400
MAX_CLASS_LINES = 250
MAX_FUNCTION_LINES = 30  # from the `def` to the last line, including the docstring

FILES = [path for folder in (*PACKAGES, "tests") for path in sorted((ROOT / folder).rglob("*.py"))]


def definitions_longer_than(max_lines, *kinds):
    """Find the definitions of these kinds that exceed a limit; return their paths, names and line counts."""
    return [
        f"{path.relative_to(ROOT)}: {node.name}: {lines} lines"
        for path in FILES
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, kinds) and (lines := node.end_lineno - node.lineno + 1) > max_lines
    ]


def test_files_are_short():
    lines_by_path = {str(path.relative_to(ROOT)): len(path.read_text().splitlines()) for path in FILES}

    assert {path: lines for path, lines in lines_by_path.items() if lines > MAX_FILE_LINES} == {}


def test_classes_are_short():
    assert definitions_longer_than(MAX_CLASS_LINES, ast.ClassDef) == []


def test_functions_are_short():
    assert definitions_longer_than(MAX_FUNCTION_LINES, ast.FunctionDef, ast.AsyncFunctionDef) == []


def module_name(path):
    """Return the name under which a source file is imported."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def find_cycle(imports):
    """Return the modules of an import cycle, in the order of the cycle; empty if there is none."""
    try:
        TopologicalSorter(imports).prepare()
    except CycleError as error:
        return error.args[1]
    return []


@pytest.mark.parametrize("package", PACKAGES)
def test_modules_do_not_import_each_other_in_a_cycle(package):
    paths = {module_name(path): path for path in (ROOT / package).rglob("*.py")}

    imports = {name: imported_modules(path) & paths.keys() for name, path in paths.items()}

    assert find_cycle(imports) == []
