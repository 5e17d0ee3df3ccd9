#!/bin/sh
# Builds the stand-ins of the second review's cases; run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2 ./review/harness2
