#!/usr/bin/env bash
# Builds the program that the scripts of the cases start: clients, servers and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand ./review/stand
