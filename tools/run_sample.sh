#!/usr/bin/env bash
# Installs packages, builds, starts stand-ins and three entries, shows one streamed answer, stops all.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build
tools/deployment.py small -- tools/sample_request.sh
