#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python modules that run
# in its environment, and use only the project's own modules and its dependencies.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/parts soak function_router || true  # optional: fails if read-only
.venv/bin/python -c 'import review.parts.case, review.parts.worker'
