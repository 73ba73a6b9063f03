#!/usr/bin/env bash
# Installs what is needed, builds, and runs one session through a whole small system on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
tools/build.sh
exec /usr/bin/python3 tools/demo.py "${BUILD_DIR:-build}"
