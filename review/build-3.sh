#!/bin/bash
# Builds the stand-ins of the cases in review/11 to review/15. Needs Go and no network. The system itself is
# built with the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/stand3
GOWORK=off CGO_ENABLED=0 go build -o ../../target/stand3 .
