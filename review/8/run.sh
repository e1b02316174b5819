#!/usr/bin/env bash
# Plays the case "late" (review/world/cases.go). Exit status: 1 the rule was broken, 0 it held, 2 the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/platform target/review-2/world; do
	[ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh"; exit 2; }
done
exec target/review-2/world late target/platform review/8/record.txt
