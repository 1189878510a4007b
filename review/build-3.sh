#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/ ./review/stand3
