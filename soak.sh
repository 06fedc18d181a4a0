#!/usr/bin/env bash
# Builds everything and runs the gateways as processes under faults from outside.
# Usage: ./soak.sh --seed 7 --minutes 2, ./soak.sh --seeds 50; --help lists the options.
# Logs of each seed are kept in run/soak; the exit code is 0 if no promise was broken.
set -euo pipefail
cd "$(dirname "$0")"
source demo/lib.sh
require_tools
build
JAVA_OPTS="-Xmx256m $JVM" exec "$HOME_DIR/bin/samphiredyke-soak" "$@"
