#!/bin/sh
# Plays the case in its folder; 0: the rule held, 1: it was broken, 2: the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec .venv/bin/python -m "review.$(basename "$folder").case"
