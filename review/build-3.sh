#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. The product itself comes from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/support-3 -B build-review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-3 -j6
