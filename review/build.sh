#!/bin/sh
# Builds the stand-in that the scripts of the cases start.
set -e
cd "$(dirname "$0")/stand"
GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review-stand .
