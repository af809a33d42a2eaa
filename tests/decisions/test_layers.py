"""Tests that the decision module keeps to the table of layers in the docstring of its package."""

import re

import pytest
from helpers.repository import PACKAGE, imported_modules

from function_router import decisions

FOLDER = PACKAGE / "decisions"
PREFIX = "function_router.decisions"
SHARED = ["settings", "events", "actions", "types"]  # modules that every component may import

# The first column of the table. Its names are indented by four spaces and separated by commas.
ROWS = re.findall(r"^ {4}(\w+(?:, \w+)*) {2,}\S", decisions.__doc__, re.MULTILINE)
TABLE = [name for row in ROWS for name in row.split(", ")]


def imported_components(name):
    """Return the decision modules that one of them imports, at top level or elsewhere."""
    modules = imported_modules(FOLDER / f"{name}.py")
    return {module.removeprefix(PREFIX + ".") for module in modules if module.startswith(PREFIX)}


def test_table_names_each_module_once():
    modules = {path.stem for path in FOLDER.glob("*.py")} - {"__init__"}

    assert sorted(TABLE + SHARED) == sorted(modules)


@pytest.mark.parametrize("name", TABLE)
def test_component_imports_only_components_after_it_in_the_table(name):
    allowed = {*TABLE[TABLE.index(name) + 1 :], *SHARED}

    assert imported_components(name) <= allowed


@pytest.mark.parametrize("name", SHARED)
def test_shared_declarations_import_no_component(name):
    assert imported_components(name) <= set(SHARED)
