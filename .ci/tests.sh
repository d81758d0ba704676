#!/bin/sh
# Runs all tests of the module it is started in. KNOWN-RED.txt may name tests that fail for a real
# fault, a line each: PACKAGE TEST CAUSE... These, and no others, are passed over, then run and
# printed apart. More than three lines, a test that is not there and one that passes are errors.
set -eu
list=KNOWN-RED.txt
[ -f "$list" ] || exec go test -count=1 -timeout=300s ./...

die() {
	echo "$list: $1" >&2
	exit 1
}
[ "$(grep -c . "$list" || true)" -le 3 ] || die "more than three lines"
packages=""
while read -r package test cause; do
	[ -n "$package" ] || continue
	[ -n "$cause" ] || die "$package $test: no cause"
	go test -list "^$test\$" "$package" | grep -qx "$test" || die "$package $test: there is no such test"
	packages="$packages $(go list "$package")"
done <"$list"

status=0
others=$(go list ./... | grep -vxF "$(printf '%s\n' $packages)" || true)
[ -z "$others" ] || go test -count=1 -timeout=300s $others || status=1
for package in $(printf '%s\n' $packages | sort -u); do
	skip=""
	while read -r p test cause; do
		[ -z "$p" ] || [ "$(go list "$p")" != "$package" ] || skip="$skip${skip:+|}^$test\$"
	done <"$list"
	go test -count=1 -timeout=300s -skip "$skip" "$package" || status=1
done
while read -r package test cause; do
	[ -n "$package" ] || continue
	echo "known to be red: $package $test: $cause"
	if out=$(go test -count=1 -timeout=300s -run "^$test\$" "$package" 2>&1); then
		echo "$list: $package $test: it passes" >&2
		status=1
	else
		printf '%s\n' "$out" | sed 's/^/known to be red: | /'
	fi
done <"$list"
exit $status
