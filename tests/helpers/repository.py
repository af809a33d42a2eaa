"""Paths of the repository, and the imports of its modules."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
TESTS = ROOT / "tests"
PACKAGE = ROOT / "function_router"
SOAK = ROOT / "soak"


def imported_modules(path):
    """Return the full names of all modules that a file imports.

    Imports within functions and those for type checkers only are included. `from package import name` counts
    as `package.name` if that is a module of the repository, and as `package` otherwise.
    """
    modules = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            modules |= {name if is_module(name) else node.module for name in names}
    return modules


def is_module(name):
    """Return whether a full name is that of a module or a package of this repository."""
    path = ROOT.joinpath(*name.split("."))
    return path.with_suffix(".py").is_file() or (path / "__init__.py").is_file()
