#!/usr/bin/env bash
# Builds the programs of the cases, which hold all stand-ins that they use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -ldflags=-linkmode=external -o target/review/ ./review/...
