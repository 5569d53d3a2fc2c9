#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/6 start: that of this review, and that of the first one for
# review/6. Both need the standard library only, and no network. The program itself is built by deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p standin-2/bin
export GOWORK=off CGO_ENABLED=0
(cd standin-2 && go build -buildvcs=false -trimpath -o bin/standin2 .)
go build -buildvcs=false -trimpath -o standin-2/bin/review-standin ./standin
