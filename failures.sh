#!/usr/bin/env bash
# Runs one example under load while processes are killed and paused, the log has an outage, answers
# are lost and connections go silent, at fixed points of the load's progress; then checks what came
# of it. Usage: ./failures.sh [EXAMPLE [SEED]], after ./demo.sh built the programs.
set -euo pipefail
cd "$(dirname "$0")"
source demo/lib.sh
source demo/processes.sh

readonly REQUESTS=600
readonly PROGRESS_SECONDS=120

note() {
  echo "$(date +%H:%M:%S.%3N) $*" | tee -a "$LOGS/faults.log" >&2
}

# await_progress PERCENT: waits until the load made that part of its requests.
await_progress() {
  local deadline=$((SECONDS + PROGRESS_SECONDS))
  until grep -q "^progress $1\$" "$LOGS/load.log" 2> /dev/null; do
    [ "$SECONDS" -lt "$deadline" ] || die "the load did not reach $1%"
    sleep 0.05
  done
}

# faults NAME PORT JSON: sets the fault switches of a stand-in.
faults() {
  note "faults of $1: $3"
  curl -sf -m 5 -o /dev/null -X POST -d "$3" "http://127.0.0.1:$2/control/faults" \
    || note "$1 did not take the faults"
}

signal() {
  note "kill -$2 $1"
  kill "-$2" "${PIDS[$1]}"
  if [ "$2" = KILL ]; then
    wait "${PIDS[$1]}" 2> /dev/null || true
  fi
}

make_faults() {
  local engine_port=$((PORT_BASE + 3)) plain_port=$((PORT_BASE + 101))
  await_progress 10
  signal entry-1 KILL
  faults "${PLAIN_SERVICES[0]%% *}" "$plain_port" '{"loseAnswers":3}'
  await_progress 20
  signal entry-3 STOP
  await_progress 30
  faults log "$(log_port)" '{"outage":"hang"}'
  start_entry 1
  note "started entry-1 again, without the log"
  await_progress 40
  signal entry-3 CONT
  faults engine-3 "$engine_port" '{"silenceOpenConnections":true}'
  await_progress 50
  signal entry-4 KILL
  signal entry-5 STOP
  faults log "$(log_port)" '{}'
  await_progress 60
  signal engine-2 STOP
  faults engine-3 "$engine_port" '{"crash":true}'
  await_progress 70
  signal entry-5 CONT
  start_entry 4
  note "started entry-4 again"
  await_progress 80
  signal engine-2 CONT
  faults engine-3 "$engine_port" '{"cutAfterTokens":5}'
  signal entry-6 KILL
  await_progress 90
  signal engine-6 KILL
}

main() {
  local name=${1:-fugeverk} seed=${2:-1} code=0 load
  require_tools
  [ -x "$HOME_DIR/bin/samphiredyked" ] || build
  source "demo/$name.sh"
  trap stop_all EXIT
  trap 'exit 130' INT TERM
  start_example "$name"
  run_load "$name" --seed "$seed" --requests "$REQUESTS" &
  load=$!
  make_faults
  wait "$load" || code=$?
  stop_all
  [ "$code" -eq 0 ] && echo "green" || echo "RED (code $code): logs are in $LOGS"
  return "$code"
}

main "$@"
