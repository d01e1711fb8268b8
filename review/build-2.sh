#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later into target/.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off go build -o ../../target/standin2 .
