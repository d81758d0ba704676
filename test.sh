#!/bin/sh
# The project's tests: formatting, modules, vet, build, unit tests. Needs Go and a C compiler.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt needed: $unformatted" >&2
	exit 1
fi
go mod tidy -diff
go vet ./...
go build ./...
sh .ci/packages.sh
exec sh .ci/tests.sh
