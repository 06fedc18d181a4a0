#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp target/review review.StopWhileWaiting review/5
