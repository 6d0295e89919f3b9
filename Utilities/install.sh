#!/usr/bin/env bash
# Installs missing build dependencies as Debian packages with apt-get. Does
# nothing if all of them are installed.
set -euo pipefail
packages=(libcpprest-dev libssl-dev libzmq3-dev cppzmq-dev libprotobuf-dev
  protobuf-compiler libyaml-cpp-dev libboost-dev libcxxopts-dev libspdlog-dev
  librapidcheck-dev libgtest-dev nlohmann-json3-dev spin ccache ninja-build cmake g++ gcc
  clang-format clang-tidy)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
  "${packages[@]}" >/dev/null
