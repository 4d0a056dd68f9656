#!/bin/sh
# Plays the case with the real gateway. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pomeloweir ] && [ -x target/review-standins-2 ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
target/review-standins-2 headers review/9/record.txt "$tmp"
