"""The files of this repository, and what they import."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
TESTS = ROOT / "tests"
PACKAGE = ROOT / "function_router"
SOAK = ROOT / "soak"


def imported_modules(path):
    """The full names of all modules that a file imports, also within functions and for type checkers only.

    For `from package import name`, that is `package.name` if this is a module of the repository, and else
    `package`.
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
    """Whether a full name is that of a module or a package of this repository."""
    path = ROOT.joinpath(*name.split("."))
    return path.with_suffix(".py").is_file() or (path / "__init__.py").is_file()
