#!/bin/sh
# Builds what the review's scripts start beside the service: the drivers, which hold the stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/cmd/...
