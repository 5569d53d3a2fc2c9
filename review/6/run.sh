#!/bin/sh
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# restart out.
cd "$(dirname "$0")" || exit 2
program=$(cd ../.. && pwd)/bin/cressknot
standin=../standin-2/bin/standin2
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
    echo "build bin/ by deploy/balancer.toml and run review/build-2.sh first" >&2
    exit 2
fi
exec "$standin" callers "$program" "$PWD/record.txt"
