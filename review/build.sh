#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The programs of the deploy file have to be built before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/stand ./review/stand
