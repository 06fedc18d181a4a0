# Functions that start the processes of an example deployment and publish its configuration.
# Source lib.sh and the file of the example, such as fugeverk.sh, first.

readonly CONFIGURATION_STREAM=samphiredyke-configuration
readonly ENTRIES_PER_DATA_CENTRE=2
readonly PUBLISH_SECONDS=30
readonly LOAD_SECONDS=240

# Demo keys only. Hosts authenticate each other, and verify tickets, with them.
export SAMPHIREDYKED_PEER_KEYS=1:000102030405060708090a0b0c0d0e0f
export SAMPHIREDYKED_TICKET_KEYS=1:101112131415161718191a1b1c1d1e1f

log_port() { echo $((PORT_BASE + 201)); }
hosts_port() { echo $((PORT_BASE + 202)); }
weights_port() { echo $((PORT_BASE + 203)); }
caller_port() { echo $((PORT_BASE + 300 + $1)); }
peer_port() { echo $((PORT_BASE + 400 + $1)); }

entry_count() { echo $((${#DATA_CENTRES[@]} * ENTRIES_PER_DATA_CENTRE)); }

# entry_data_centre N: prints the data centre of entry N, counted from 1.
entry_data_centre() { echo "${DATA_CENTRES[$((($1 - 1) / ENTRIES_PER_DATA_CENTRE))]}"; }

# entry_addresses: prints the client addresses of all entries, separated by commas.
entry_addresses() {
  local n addresses=()
  for n in $(seq "$(entry_count)"); do
    addresses+=("127.0.0.1:$(caller_port "$n")")
  done
  (IFS=,; echo "${addresses[*]}")
}

require_free_ports() {
  local name port rest n
  for entry in "${ENGINES[@]}" "${PLAIN_SERVICES[@]}"; do
    read -r name port rest <<< "$entry"
    require_free_port "$port" "$name"
  done
  require_free_port "$(log_port)" "the log"
  require_free_port "$(hosts_port)" "the host list"
  require_free_port "$(weights_port)" "the weight store"
  for n in $(seq "$(entry_count)"); do
    require_free_port "$(caller_port "$n")" "entry-$n"
    require_free_port "$(peer_port "$n")" "entry-$n"
  done
}

start_platform() {
  local name port data_centre rest n hosts=()
  for entry in "${ENGINES[@]}" "${PLAIN_SERVICES[@]}"; do
    read -r name port data_centre rest <<< "$entry"
    hosts+=(--host "$name,127.0.0.1:$port,endpoint,$data_centre")
  done
  for n in $(seq "$(entry_count)"); do
    hosts+=(--host "entry-$n,127.0.0.1:$(peer_port "$n"),entry,$(entry_data_centre "$n")")
  done
  start log 96m samphiredyke-standin log --address "127.0.0.1:$(log_port)"
  start host-list 64m samphiredyke-standin hosts \
    --address "127.0.0.1:$(hosts_port)" "${hosts[@]}"
  start weight-store 64m samphiredyke-standin weights --address "127.0.0.1:$(weights_port)"
}

# start_engine NAME PORT DATA_CENTRE fast|slow: starts a simulated model engine.
start_engine() {
  local name=$1 port=$2 data_centre=$3 speed=$4 flags model models
  case $speed in
    fast) flags=(--prefill-rate 12000 --decode-rate 120 --batch-limit 16 --fence check) ;;
    slow) flags=(--prefill-rate 4000 --decode-rate 40 --batch-limit 8 --fence ignore) ;;
  esac
  IFS=, read -ra models <<< "$MODELS"
  for model in "${models[@]}"; do
    flags+=(--model "$model")
  done
  start "$name" 96m samphiredyke-standin engine --name "$name" --data-centre "$data_centre" \
    --address "127.0.0.1:$port" --weights "127.0.0.1:$(weights_port)" "${flags[@]}"
}

start_endpoints() {
  local name port data_centre speed
  for entry in "${ENGINES[@]}"; do
    read -r name port data_centre speed <<< "$entry"
    start_engine "$name" "$port" "$data_centre" "$speed"
  done
  for entry in "${PLAIN_SERVICES[@]}"; do
    read -r name port data_centre <<< "$entry"
    start "$name" 64m samphiredyke-standin service --name "$name" --data-centre "$data_centre" \
      --address "127.0.0.1:$port"
  done
}

# start_entry N: starts the daemon of entry N, counted from 1.
start_entry() {
  start "entry-$1" 128m samphiredyked --name "entry-$1" --data-centre "$(entry_data_centre "$1")" \
    --address "127.0.0.1:$(caller_port "$1")" --peer-address "127.0.0.1:$(peer_port "$1")" \
    --log-url "127.0.0.1:$(log_port)" --host-list-url "127.0.0.1:$(hosts_port)" \
    --configuration-stream "$CONFIGURATION_STREAM" --poll-interval 500ms
}

start_entries() {
  local n
  for n in $(seq "$(entry_count)"); do
    start_entry "$n"
  done
}

publish() {
  timeout "$PUBLISH_SECONDS" "$HOME_DIR/bin/samphiredykectl" publish "examples/$1" \
    --log "127.0.0.1:$(log_port)" --stream "$CONFIGURATION_STREAM" --author demo
}

wait_until_ready() {
  local n
  for n in $(seq "$(entry_count)"); do
    wait_for_page "entry-$n" "http://127.0.0.1:$(caller_port "$n")/ready"
  done
}

# start_example NAME: starts all processes of an example and publishes its configuration.
start_example() {
  LOGS=run/demo/$1
  rm -rf "$LOGS"
  mkdir -p "$LOGS"
  require_free_ports
  start_platform
  start_endpoints
  wait_for_page log "http://127.0.0.1:$(log_port)/control/counts"
  wait_for_page host-list "http://127.0.0.1:$(hosts_port)/v1/hosts"
  start_entries
  publish "$1" || die "the configuration was not accepted"
  wait_until_ready
}

# run_load NAME [FLAG...]: runs the load of an example and writes its progress to load.log.
run_load() {
  local name=$1
  shift
  timeout "$LOAD_SECONDS" "$HOME_DIR/bin/samphiredyke-bench" load \
    --addresses "$(entry_addresses)" --plan "demo/$name.json" --json "$LOGS/load.json" "$@" \
    2> "$LOGS/load.log"
}
