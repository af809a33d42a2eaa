#!/bin/sh
# Leaves .venv in the repository's folder. A .venv counts as good only if it was finished for just these
# requirements and its interpreter still starts: one half made, moved or out of date is made anew.
set -eu
cd "$(dirname "$0")/.."
stamp=.venv/requirements.txt
if ! { cmp -s requirements.txt "$stamp" && .venv/bin/python -c 'import msgspec, typer'; } 2>/dev/null; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
    cp requirements.txt "$stamp"
fi
.venv/bin/python -m compileall -q function_router || true   # a checkout that can't be written to still runs
