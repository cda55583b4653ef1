#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: Python of the standard library,
# compiled here so that a mistake shows before a case runs.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q -f kit.py ./*/case.py
