#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start.
set -euo pipefail
