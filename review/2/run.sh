#!/bin/sh
# Exits with 1 if the rule TWICE was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." && exec target/review/stops -record review/2/record.txt
