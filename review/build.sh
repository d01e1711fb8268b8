#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs only Go's standard
# library. The project itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS="-mod=mod -buildvcs=false" go build -o ../../target/review/standin .
