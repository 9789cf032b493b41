#!/usr/bin/env bash
# Runs the randomised suites with many cases and a seed that is printed: long_run.sh CASES [SUITE...]
set -euo pipefail
cd "$(dirname "$0")/.."
cases=${1:-1000}
shift || true
seed=${SEED:-$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}
export RC_PARAMS="seed=$seed max_success=$cases"
[ $# -gt 0 ] || set -- routing limits membership config idempotency recovery placement
for suite in "$@"; do
  echo "suite $suite, RC_PARAMS=\"$RC_PARAMS\""
  "${BUILD_FOLDER:-build}/unit_tests" "$suite"
done
