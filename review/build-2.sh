#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-bed ./review/bed
