#!/bin/sh
# Plays the case. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/review-stand ] || exit 2
exec target/review-stand grey review/4
