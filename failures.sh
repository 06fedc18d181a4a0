#!/usr/bin/env bash
# Runs an example under load and injects faults at fixed points of the load's progress: processes are
# killed and paused, the log has an outage, responses are lost and connections stop responding. Then
# checks the results. Usage: ./failures.sh [EXAMPLE [SEED]]; builds the programs if they are missing.
set -euo pipefail
cd "$(dirname "$0")"
source demo/lib.sh
source demo/processes.sh

readonly REQUESTS=600
readonly PROGRESS_SECONDS=120

log_fault() {
  echo "$(date +%H:%M:%S.%3N) $*" | tee -a "$LOGS/faults.log" >&2
}

# await_progress PERCENT: waits until the load has completed that share of its requests.
await_progress() {
  local deadline=$((SECONDS + PROGRESS_SECONDS))
  until grep -q "^progress $1\$" "$LOGS/load.log" 2> /dev/null; do
    [ "$SECONDS" -lt "$deadline" ] || die "the load did not reach $1% in time"
    sleep 0.05
  done
}

# set_faults NAME PORT JSON: sets the injected faults of a simulated service.
set_faults() {
  log_fault "inject into $1: $3"
  curl -sf -m 5 -o /dev/null -X POST -d "$3" "http://127.0.0.1:$2/control/faults" \
    || log_fault "$1 did not accept the faults"
}

# signal NAME SIGNAL: sends a signal to a process, and after KILL waits for its exit.
signal() {
  log_fault "kill -$2 $1"
  kill "-$2" "${PIDS[$1]}"
  if [ "$2" = KILL ]; then
    wait "${PIDS[$1]}" 2> /dev/null || true
  fi
}

inject_faults() {
  local engine_port=$((PORT_BASE + 3)) plain_port=$((PORT_BASE + 101))
  await_progress 10
  signal entry-1 KILL
  set_faults "${PLAIN_SERVICES[0]%% *}" "$plain_port" '{"loseAnswers":3}'
  await_progress 20
  signal entry-3 STOP
  await_progress 30
  set_faults log "$(log_port)" '{"outage":"hang"}'
  start_entry 1
  log_fault "restarted entry-1 during the log outage"
  await_progress 40
  signal entry-3 CONT
  set_faults engine-3 "$engine_port" '{"silenceOpenConnections":true}'
  await_progress 50
  signal entry-4 KILL
  signal entry-5 STOP
  set_faults log "$(log_port)" '{}'
  await_progress 60
  signal engine-2 STOP
  set_faults engine-3 "$engine_port" '{"crash":true}'
  await_progress 70
  signal entry-5 CONT
  start_entry 4
  log_fault "restarted entry-4"
  await_progress 80
  signal engine-2 CONT
  set_faults engine-3 "$engine_port" '{"cutAfterTokens":5}'
  signal entry-6 KILL
  await_progress 90
  signal engine-6 KILL
}

main() {
  local name=${1:-fugeverk} seed=${2:-1} exit_code=0 load_pid
  require_tools
  [ -x "$HOME_DIR/bin/samphiredyked" ] || build
  source "demo/$name.sh"
  trap stop_all EXIT
  trap 'exit 130' INT TERM
  start_example "$name"
  run_load "$name" --seed "$seed" --requests "$REQUESTS" &
  load_pid=$!
  inject_faults
  wait "$load_pid" || exit_code=$?
  stop_all
  [ "$exit_code" -eq 0 ] && echo "green" || echo "RED (code $exit_code): logs are in $LOGS"
  return "$exit_code"
}

main "$@"
