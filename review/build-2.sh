#!/bin/sh
# Builds the stand-ins that the scripts of this review start. It needs nothing but Go.
set -e
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-standins-2 .
