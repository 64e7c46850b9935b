#!/usr/bin/env bash
# Builds every stand-in and case of the review into build-review/. Needs the packages of the deploy file and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review -j "${JOBS:-4}"
