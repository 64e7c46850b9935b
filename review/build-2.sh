#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start, the project's own among them, into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DCMAKE_PROJECT_anvilcart_INCLUDE="$PWD/review/support-2/standins.cmake"
cmake --build build-review-2 -j6 --target review-2-programs
