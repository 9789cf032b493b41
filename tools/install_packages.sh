#!/usr/bin/env bash
# Installs the Debian packages that building, linting and testing need.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
packages=(g++ cmake ninja-build clang-format clang-tidy curl python3 python3-jinja2
  libboost-dev libwebsocketpp-dev prometheus-cpp-dev libgflags-dev libfmt-dev libcppunit-dev
  librapidcheck-dev nlohmann-json3-dev libvalijson-dev libssl-dev libxxhash-dev libbenchmark-dev)
present=$(dpkg-query -W -f '${Status}\n' "${packages[@]}" 2>/dev/null | grep -c 'install ok installed' || true)
if [ "$present" -eq "${#packages[@]}" ]; then
  exit 0
fi
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${packages[@]}" >/dev/null
