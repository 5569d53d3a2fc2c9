#!/bin/sh
# Builds the stand-in that the cases start: the platform's relay, discovery, proxies, servers and collectors. It needs the
# standard library only, and no network.
set -e
cd "$(dirname "$0")"
mkdir -p ../bin
GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -trimpath -o ../bin/review-standin ./standin
