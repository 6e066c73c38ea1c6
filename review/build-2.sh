#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/.
# The system itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/6/rig
