#!/usr/bin/env bash
# Builds everything, runs both example deployments one after the other, each under a small load, and
# checks what came of it. Usage: ./demo.sh [EXAMPLE...]; ends by itself, with code 0 if all is well.
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
  local name=$1 code=0
  source "demo/$name.sh"
  echo "== $name: starting $(entry_count) daemons, ${#ENGINES[@]} engines," \
    "${#PLAIN_SERVICES[@]} plain services, log, host list, weight store"
  start_example "$name"
  run_load "$name" --seed 1 || code=$?
  [ "$code" -le 1 ] || echo "the load ended with code $code: $(tail -n 3 "$LOGS/load.log")"
  if [ "$name" = fugeverk ]; then
    echo
    echo "time added at low load, against calling the endpoint directly:"
    measure_overhead || { code=1; tail -n 3 "$LOGS/overhead.log"; }
  fi
  stop_all
  echo
  return "$code"
}

# Gateways before the stand-ins of the platform, without faults: see soak.sh for those.
run_platform() {
  echo "== platform: starting 4 gateways, 6 endpoints, store"
  JAVA_OPTS="-Xmx128m $JVM" "$HOME_DIR/bin/samphiredyke-soak" --minutes 0 --logs run/demo/platform
}

main() {
  local name green=0
  require_tools
  build
  trap stop_all EXIT
  trap 'exit 130' INT TERM
  for name in "$@"; do
    run_example "$name" || green=1
  done
  run_platform || green=1
  [ "$green" -eq 0 ] && echo "green" || echo "RED: logs are in run/demo"
  return "$green"
}

if [ $# -eq 0 ]; then
  set -- fugeverk sundarban
fi
main "$@"
