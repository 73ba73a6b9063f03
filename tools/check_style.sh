#!/usr/bin/env bash
# Checks the format, the clang-tidy findings and that the generated code matches the schema.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
mapfile -t headers < <(git ls-files --cached --others --exclude-standard '*.h' | grep -v /generated/)
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -v /generated/)
clang-format --dry-run --Werror "${headers[@]}" "${sources[@]}"
if [ -x tools/generate.py ]; then
    /usr/bin/python3 tools/generate.py --check
fi
# Sources that this build doesn't compile, such as the fuzzers, are not in the compilation
# database, so that clang-tidy can't check them.
lintable=()
for source in "${sources[@]}"; do
    grep -q "\"file\": \"$PWD/$source\"" "$build/compile_commands.json" && lintable+=("$source")
done
printf '%s\n' "${lintable[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 2 clang-tidy --quiet -p "$build" 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
