#!/usr/bin/env bash
# Runs groups of 6, 12, 24 and 48 daemons one after the other and prints the memory, CPU time and
# network traffic per daemon, idle and under light load. Usage: ./capacity.sh [COUNT...]
set -euo pipefail
cd "$(dirname "$0")"
source demo/lib.sh

readonly PORT=24000
readonly SETTLE_SECONDS=20
readonly MEASURE_SECONDS=30
readonly REQUESTS_PER_SECOND=5
readonly STREAM=samphiredyke-configuration
readonly KEY=demo-key-nordfasade
readonly TICKS_PER_SECOND=$(getconf CLK_TCK)

export SAMPHIREDYKED_PEER_KEYS=1:000102030405060708090a0b0c0d0e0f
export SAMPHIREDYKED_TICKET_KEYS=1:101112131415161718191a1b1c1d1e1f

caller_address() { echo "127.0.0.1:$((PORT + 300 + $1))"; }
peer_address() { echo "127.0.0.1:$((PORT + 400 + $1))"; }
data_centre() { echo "oslo-$(($1 % 3 + 1))"; }

start_platform() {
  local count=$1 n hosts=()
  for n in $(seq "$count"); do
    hosts+=(--host "entry-$n,$(peer_address "$n"),entry,$(data_centre "$n")")
  done
  start log 96m samphiredyke-standin log --address "127.0.0.1:$((PORT + 1))"
  start host-list 64m samphiredyke-standin hosts --address "127.0.0.1:$((PORT + 2))" "${hosts[@]}"
  start weight-store 64m samphiredyke-standin weights --address "127.0.0.1:$((PORT + 3))"
  for n in 1 2; do
    start "engine-$n" 96m samphiredyke-standin engine --name "engine-$n" \
      --data-centre "$(data_centre "$n")" --address "127.0.0.1:$((21000 + n))" \
      --weights "127.0.0.1:$((PORT + 3))" --model garanti-writer --model garanti-answer
  done
  wait_for_page log "http://127.0.0.1:$((PORT + 1))/control/counts"
  wait_for_page host-list "http://127.0.0.1:$((PORT + 2))/v1/hosts"
}

start_daemons() {
  local n
  for n in $(seq "$1"); do
    start "entry-$n" 96m samphiredyked --name "entry-$n" --data-centre "$(data_centre "$n")" \
      --address "$(caller_address "$n")" --peer-address "$(peer_address "$n")" \
      --log-url "127.0.0.1:$((PORT + 1))" --host-list-url "127.0.0.1:$((PORT + 2))" \
      --configuration-stream "$STREAM"
  done
  "$HOME_DIR/bin/samphiredykectl" publish examples/fugeverk --log "127.0.0.1:$((PORT + 1))" \
    --stream "$STREAM" --author capacity > "$LOGS/publish.log" 2>&1 || die "publishing failed"
  for n in $(seq "$1"); do
    wait_for_page "entry-$n" "http://$(caller_address "$n")/ready"
  done
}

# totals COUNT: prints resident memory in KiB, CPU ticks, and gossip and link bytes sent, each summed
# over all daemons.
totals() {
  local n pid rss_kib=0 ticks=0 gossip=0 links=0 values page
  for n in $(seq "$1"); do
    pid=${PIDS[entry-$n]}
    rss_kib=$((rss_kib + $(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")))
    ticks=$((ticks + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
    page=$(curl -sf -m 10 "http://$(caller_address "$n")/metrics")
    values=$(awk '/^samphiredyke_gossip_sent_bytes_total/ {g = $2}
      /^samphiredyke_links_sent_bytes_total/ {l = $2} END {printf "%d %d", g, l}' <<< "$page")
    gossip=$((gossip + ${values% *}))
    links=$((links + ${values#* }))
  done
  echo "$rss_kib $ticks $gossip $links"
}

# measure COUNT NAME: measures for MEASURE_SECONDS and prints the usage per daemon in one line.
measure() {
  local before after
  before=$(totals "$1")
  sleep "$MEASURE_SECONDS"
  after=$(totals "$1")
  awk -v count="$1" -v name="$2" -v seconds="$MEASURE_SECONDS" -v hz="$TICKS_PER_SECOND" \
    -v before="$before" -v after="$after" 'BEGIN {
      split(before, b); split(after, a); each = count * seconds
      printf "%7d  %-6s %10.1f %12.2f %12.0f %12.0f\n", count, name, a[1] / count / 1024,
        (a[2] - b[2]) / hz / each * 100, (a[3] - b[3]) / each, (a[4] - b[4]) / each }'
}

# send_load COUNT: sends requests to the daemons in turn until it is killed.
send_load() {
  local n=0
  while true; do
    n=$((n % $1 + 1))
    curl -s -m 20 -o /dev/null "http://$(caller_address "$n")/v1/chat/completions" \
      -H "Authorization: Bearer $KEY" -H 'Content-Type: application/json' \
      -d '{"model":"coverage-questions","max_tokens":8,
        "messages":[{"role":"user","content":"is it covered?"}]}' &
    sleep "$(awk -v rate="$REQUESTS_PER_SECOND" 'BEGIN {print 1 / rate}')"
  done
}

run_count() {
  local count=$1
  LOGS=run/capacity/$count
  rm -rf "$LOGS"
  mkdir -p "$LOGS"
  start_platform "$count"
  start_daemons "$count"
  sleep "$SETTLE_SECONDS"
  measure "$count" idle
  send_load "$count" > "$LOGS/load.log" 2>&1 &
  PIDS[load]=$!
  measure "$count" load
  stop_all
}

main() {
  local count
  require_tools
  build
  trap stop_all EXIT
  trap 'exit 130' INT TERM
  echo "$(date -u +%F) $(uname -m), $(nproc) cores, load average $(cut -d' ' -f1 /proc/loadavg)"
  printf '%7s  %-6s %10s %12s %12s %12s\n' daemons load 'RSS MiB' '% of a core' 'gossip B/s' 'links B/s'
  for count in "$@"; do
    run_count "$count"
  done
}

if [ $# -eq 0 ]; then
  set -- 6 12 24 48
fi
main "$@"
