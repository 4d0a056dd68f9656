#!/bin/sh
# Builds the stand-ins that the scripts start. They use the standard library only.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p ../../target
GOFLAGS=-buildvcs=false go build -o ../../target/review-standins .
