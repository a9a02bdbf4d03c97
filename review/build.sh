#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are plain JavaScript without dependencies, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.mjs [1-9]/script.mjs; do node --check "$file"; done
