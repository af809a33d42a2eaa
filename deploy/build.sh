#!/bin/sh
# Creates the virtual environment .venv in the root of the repository. Keeps an existing one only if its
# installation was completed with the current requirements.txt and its interpreter runs. Replaces one that is
# incomplete, was moved or is out of date.
set -eu
cd "$(dirname "$0")/.."
stamp=.venv/requirements.txt
if ! { cmp -s requirements.txt "$stamp" && .venv/bin/python -c 'import msgspec, typer'; } 2>/dev/null; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
    cp requirements.txt "$stamp"
fi
.venv/bin/python -m compileall -q function_router || true   # optional: fails if the checkout is read-only
