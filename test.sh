#!/bin/sh
# The project's tests: formatting, vet, build, unit tests. Needs only Go.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt needed: $unformatted" >&2
	exit 1
fi
go vet ./...
go build ./...
exec sh .ci/tests.sh
