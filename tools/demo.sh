#!/usr/bin/env bash
# Installs the required packages, builds, and runs the demonstration on a small loopback system.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/build.sh
exec /usr/bin/python3 tools/demo.py "${BUILD_DIR:-build}"
