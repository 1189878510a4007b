#!/bin/bash
# Builds what the cases 6 to 10 start besides the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/stand2
