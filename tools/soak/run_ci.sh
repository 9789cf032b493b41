#!/usr/bin/env bash
# Tests of the soak's own checks and eight short seeded soaks of the relay that the caller built.
# Usage: run_ci.sh BUILD_FOLDER; closes on a line 'N passed, N failed'. An entry 'test: soak::SEED KIND' of KNOWN-RED.txt
# passes over a run of that seed whose findings are all of that kind.
set -euo pipefail
[ $# -eq 1 ] || { echo "usage: $0 BUILD_FOLDER" >&2; exit 2; }
build=$(realpath "$1")
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
passed=0
failed=0
red=0

run() {
  if "$@" | tee "$build/soak-run.txt"; then
    passed=$((passed + 1))
  elif is_known_red; then
    red=$((red + 1))
    echo "known red: $*"
  else
    failed=$((failed + 1))
    echo "failed: $*"
  fi
}

# The last line of a run tells its seed, its findings and how many are of each kind.
is_known_red() {
  local seed kind
  while read -r seed kind; do
    tail -n 1 "$build/soak-run.txt" | grep -qE "^soak seed=$seed findings=([0-9]+) $kind=\\1 " && return 0
  done < <(sed -nE 's/^test: soak::([0-9]+) ([A-Z_]+)$/\1 \2/p' ../../KNOWN-RED.txt)
  return 1
}

run python3 checks_test.py
rm -rf "$build/soak-logs"
run python3 soak.py --build "$build" --logs "$build/soak-logs/101" --seed 101 --seconds 20 --callers 60
run python3 soak.py --build "$build" --logs "$build/soak-logs/102" --seed 102 --seconds 20 --instances 5 --callers 30 --calm 2
run python3 soak.py --build "$build" --logs "$build/soak-logs/405" --seed 405 --seconds 35 --callers 25 --kinds returns
run python3 soak.py --build "$build" --logs "$build/soak-logs/501" --seed 501 --seconds 12 --callers 20 --kinds odd-rows
run python3 soak.py --build "$build" --logs "$build/soak-logs/603" --seed 603 --seconds 25 --instances 5 --callers 25 --calm 1.5 --engines 12 --kinds versions
run python3 soak.py --build "$build" --logs "$build/soak-logs/901" --seed 901 --seconds 15 --callers 25 --instances 4 --kinds process,store,configurations,large
run python3 soak.py --build "$build" --logs "$build/soak-logs/904" --seed 904 --seconds 18 --callers 25 --instances 4 --engines 12 --calm 8 --kinds engines,limits,deadly
run python3 soak.py --build "$build" --logs "$build/soak-logs/11001" --seed 11001 --seconds 12 --callers 25 --instances 4 --kinds engines,odd-answers
echo "$passed passed, $failed failed, $red skipped"
[ "$failed" -eq 0 ]
