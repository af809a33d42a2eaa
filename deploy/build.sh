#!/bin/sh
# Creates .venv in the root of the repository. An existing one is kept only if it was completed for exactly
# these requirements and its interpreter runs; one that is incomplete, moved or out of date is replaced.
set -eu
cd "$(dirname "$0")/.."
stamp=.venv/requirements.txt
if ! { cmp -s requirements.txt "$stamp" && .venv/bin/python -c 'import msgspec, typer'; } 2>/dev/null; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
    cp requirements.txt "$stamp"
fi
.venv/bin/python -m compileall -q function_router || true   # optional: fails where the checkout is read-only
