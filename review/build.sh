#!/bin/sh
# Builds the stand-ins of the cases into review/bin/. The front is built by the command of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin
for n in 1 2 3; do
    [ ! -d "review/$n" ] || go build -o "review/bin/case$n" "./review/$n" || exit 2
done
