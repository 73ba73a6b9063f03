#!/usr/bin/env bash
# Installs the library into a temporary folder and builds and runs examples/embed against it.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cmake --install "$build" --prefix "$folder/prefix" >/dev/null
cmake -S examples/embed -B "$folder/embed" -DCMAKE_PREFIX_PATH="$folder/prefix" >/dev/null
cmake --build "$folder/embed" >/dev/null
"$folder/embed/embed" | sed -n 2p | grep -qx 'small runs request 7'
echo "install: examples/embed builds and runs against the installed library"
