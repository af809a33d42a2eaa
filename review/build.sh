#!/bin/sh
# The stand-ins are Python files that run in the environment of the deploy file's build: there is nothing to
# compile. This only checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -B -c 'import review.common.load, review.common.worker, review.common.worker_group'
