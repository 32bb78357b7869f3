#!/bin/sh
# Builds the stand-ins of the cases. They are Python sources; this compiles them.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/jacinthshed-review-pycache" \
    python3 -m compileall -q review
