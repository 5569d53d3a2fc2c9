#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/6 start. It needs the build of deploy/balancer.toml first:
# that build leaves the libraries in the module cache, and nothing else is fetched.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p bin
go build -buildvcs=false -trimpath -o bin/standin2 .
