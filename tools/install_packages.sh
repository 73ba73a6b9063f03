#!/usr/bin/env bash
# Installs the Debian packages that are required to build, test and run the demonstration.
set -euo pipefail
packages=(
    cmake ninja-build g++ ccache clang clang-format clang-tidy libclang-rt-14-dev
    libev-dev libwebsocketpp-dev nlohmann-json3-dev prometheus-cpp-dev libyaml-cpp-dev
    libboost-log-dev libboost-dev librapidcheck-dev libgtest-dev libgmock-dev libbenchmark-dev
    libpq-dev libpg-query-dev libcurl4-openssl-dev libssl-dev libsqlite3-dev libxxhash-dev zlib1g-dev
    python3 python3-jinja2 python3-psycopg2 python3-yaml python3-jsonschema openssl
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}"
