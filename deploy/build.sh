#!/bin/sh
# Puts the programs and what they need, compiled, under target/deps.
set -eu

packages="cryptography cffi pycparser httptools loguru msgspec prometheus_client uvloop xxhash"
deps=target/deps
mkdir -p target

for package in $packages; do
    grep "^$package==" requirements.lock
done > target/requirements.new

if ! cmp -s target/requirements.new target/requirements.txt; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target "$deps" -r target/requirements.new
    mv target/requirements.new target/requirements.txt
fi

rm -rf "$deps/finchshed" "$deps/finchshed_platform"
cp -r src/finchshed "$deps/finchshed"
cp -r platform/finchshed_platform "$deps/finchshed_platform"
python3 -m compileall -q --invalidation-mode unchecked-hash "$deps"
