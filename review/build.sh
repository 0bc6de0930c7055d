#!/usr/bin/env bash
# Builds the programs that the cases' scripts start, beside the product's own build.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in review/[0-9]*/; do
	[ -f "$dir/main.go" ] || continue
	n=$(basename "$dir")
	go build -o "target/review-$n" "./review/$n"
done
