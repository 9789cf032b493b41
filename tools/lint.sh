#!/usr/bin/env bash
# Checks format, generated code and lint. With --fix, formats in place first.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_FOLDER:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.hpp' '*.cpp' | grep -v '/generated_')
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${files[@]}"
  shift
fi
clang-format --dry-run --Werror "${files[@]}"
/usr/bin/env python3 -c 'import jinja2' 2>/dev/null && python=python3 || python=/usr/bin/python3
$python schema/generate.py --check
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
# Only sources under the linter's reach: the websocketpp object is C++17 library glue.
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' | grep -v websocket_codec)
if [ $# -gt 0 ]; then sources=("$@"); fi
tools/lint_passed.py pending "$build" "${sources[@]}" >"$build/lint_pending.txt"
mapfile -t pending <"$build/lint_pending.txt"
echo "lint: ${#pending[@]} of ${#sources[@]} sources have changed since they passed, or include what has"
# xargs ends with 123 when a linter has findings, and otherwise when one was stopped or not found.
status=0
printf '%s\n' "${pending[@]}" | xargs -r -P "${LINT_JOBS:-8}" -n 2 clang-tidy -p "$build" --quiet \
  >"$build/lint.raw" 2>&1 || status=$?
grep -vE '^[0-9]+ warnings? generated|^Suppressed|^Use -header|^$' "$build/lint.raw" | tee "$build/lint.log" || true
if grep -qE '(error|warning):' "$build/lint.log"; then
  echo "lint: findings above"
  exit 1
fi
if [ "$status" -ne 0 ]; then
  echo "lint: a linter did not end, or found no file to check (xargs: $status)"
  exit 1
fi
tools/lint_passed.py record "$build"
echo "lint: clean"
