#!/bin/sh
# Builds the stand-ins of the second review: they are Python without packages, so they are only compiled.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/finchshed || sh deploy/build.sh
python3 -m compileall -q review/deployment_2 review/[4-8]
