#!/usr/bin/env bash
# Builds all modules and runs the gateways as separate processes with fault injection.
# Usage: ./soak.sh --seed 7 --minutes 2, ./soak.sh --seeds 50; --help lists the options.
# Logs of each seed are kept in run/soak; exits with 0 if no invariant was violated.
set -euo pipefail
cd "$(dirname "$0")"
source demo/lib.sh
require_tools
build
JAVA_OPTS="-Xmx256m $JVM" exec "$HOME_DIR/bin/samphiredyke-soak" "$@"
