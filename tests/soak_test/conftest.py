"""Fixtures of the tests of the soak test."""

import gc

import pytest


@pytest.fixture(autouse=True)
def _finalize_open_streams():
    """Run the finalizers of the streams that a test leaves open at its end, and not within a later test.

    They fail, as their event loop is closed. If the garbage collector runs one while a module is parsed,
    CPython 3.11 raises a SystemError in the parser ("AST constructor recursion depth mismatch").
    """
    yield
    gc.collect()
