#!/bin/sh
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the cut
# out. The stand-in is the first review's: relay, discovery, proxies, servers and collectors of the users' platform.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
standin=../standin-2/bin/review-standin
if [ ! -x "$root/bin/cressknot" ] || [ ! -x "$standin" ]; then
    echo "build bin/ by deploy/balancer.toml and run review/build-2.sh first" >&2
    exit 2
fi
exec "$standin" -case cut -root "$root" -record "$PWD/record.txt" -trouble="${TROUBLE:-1}"
