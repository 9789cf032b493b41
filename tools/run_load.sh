#!/usr/bin/env bash
# Runs the load tool inside a deployment started by tools/deployment.py; further flags go to the tool.
# Usage: tools/deployment.py notices -- tools/run_load.sh --model=notary --duration=60000
set -euo pipefail
limits=${TT_RATES:?run inside tools/deployment.py}
exec "${BUILD_FOLDER:-build}/tarragontrail-load" --entries="$TT_ENTRIES" --keys="$TT_KEYS" \
  --limits="$limits" --engine_stats="$TT_ENGINES" --service_stats="$TT_SERVICES" "$@"
