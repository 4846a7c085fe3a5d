#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python programs (scripts/platform_standin.py,
# scripts/platform_store.py and scripts/http_streams.py of the project, review/lib-2/harness.py), so this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path[:0] = ["review/lib-2", "scripts"]
import harness, http_streams, platform_standin, platform_store'
