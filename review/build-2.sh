#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: they are Python modules that need
# nothing but the standard library, so they are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11"'
python3 -m compileall -q standins_2
