#!/bin/sh
# Builds what the scripts of the second review start beside the service: the runner of the cases with its stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-second
go build -o target/review-second/ ./review/second/cases
