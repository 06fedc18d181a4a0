#!/usr/bin/env bash
# Builds all modules, runs the example deployments one after the other, each under light load, and
# checks the results. Usage: ./demo.sh [EXAMPLE...]; exits with 0 if all checks pass.
set -euo pipefail
cd "$(dirname "$0")"
source demo/lib.sh
source demo/processes.sh

readonly OVERHEAD_SECONDS=120

measure_overhead() {
  timeout "$OVERHEAD_SECONDS" "$HOME_DIR/bin/samphiredyke-bench" overhead \
    --addresses "$(entry_addresses)" --key "$SEED_KEY" "${OVERHEAD[@]}" 2> "$LOGS/overhead.log"
}

run_example() {
  local name=$1 exit_code=0
  source "demo/$name.sh"
  echo "== $name: starting $(entry_count) daemons, ${#ENGINES[@]} engines," \
    "${#PLAIN_SERVICES[@]} plain services, log, host list, weight store"
  start_example "$name"
  run_load "$name" --seed 1 || exit_code=$?
  [ "$exit_code" -le 1 ] || echo "the load generator exited with $exit_code: $(tail -n 3 "$LOGS/load.log")"
  if [ "$name" = fugeverk ]; then
    echo
    echo "time added at low load, against calling the endpoint directly:"
    measure_overhead || { exit_code=1; tail -n 3 "$LOGS/overhead.log"; }
  fi
  stop_all
  echo
  return "$exit_code"
}

# Runs gateways against the simulated platform, without faults; soak.sh injects faults.
run_platform() {
  echo "== platform: starting 4 gateways, 6 endpoints, store"
  JAVA_OPTS="-Xmx128m $JVM" "$HOME_DIR/bin/samphiredyke-soak" --minutes 0 --logs run/demo/platform
}

main() {
  local name failed=0
  require_tools
  build
  trap stop_all EXIT
  trap 'exit 130' INT TERM
  for name in "$@"; do
    run_example "$name" || failed=1
  done
  run_platform || failed=1
  [ "$failed" -eq 0 ] && echo "green" || echo "RED: logs are in run/demo"
  return "$failed"
}

if [ $# -eq 0 ]; then
  set -- fugeverk sundarban
fi
main "$@"
