#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8. The build of deploy/service.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2-lab ./review/lab2
