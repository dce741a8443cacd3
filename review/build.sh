#!/bin/sh
# Check and compile the stand-ins; they need no library and no network.
set -eu
python3 -m compileall -q "$(dirname "$0")/standins"
