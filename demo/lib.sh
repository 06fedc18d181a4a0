# Shared functions that build the programs and start, await and stop processes.
# The sourcing script has to set -euo pipefail and change to the project root first.

readonly HOME_DIR=samphiredyke-dist/target/samphiredyke-dist-0.1.0-SNAPSHOT
readonly START_SECONDS=40
readonly STOP_SECONDS=10
readonly JVM="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ActiveProcessorCount=2"

declare -A PIDS=()
LOGS=run/demo

die() {
  echo "$(basename "$0"): $*" >&2
  exit 1
}

require_tools() {
  local tool
  for tool in java mvn curl; do
    command -v "$tool" > /dev/null || die "$tool is not installed"
  done
}

build() {
  echo "building ..."
  mvn -B -q -DskipTests package || die "the build failed"
  [ -x "$HOME_DIR/bin/samphiredyked" ] || die "$HOME_DIR/bin/samphiredyked was not built"
}

require_free_port() {
  local port=$1 owner=$2
  if (exec 3<> "/dev/tcp/127.0.0.1/$port") 2> /dev/null; then
    die "port $port, which $owner needs, is in use"
  fi
}

# start NAME HEAP PROGRAM [FLAG...]: starts a program of the distribution in the background.
start() {
  local name=$1 heap=$2 program=$3
  shift 3
  JAVA_OPTS="-Xmx$heap $JVM" "$HOME_DIR/bin/$program" "$@" >> "$LOGS/$name.log" 2>&1 &
  PIDS[$name]=$!
}

is_running() {
  kill -0 "${PIDS[$1]}" 2> /dev/null
}

# wait_for_page NAME URL: waits until a process serves the URL successfully.
wait_for_page() {
  local name=$1 url=$2 deadline=$((SECONDS + START_SECONDS))
  until curl -sf -m 2 -o /dev/null "$url"; do
    is_running "$name" || die "$name exited during startup: $(tail -n 3 "$LOGS/$name.log")"
    [ "$SECONDS" -lt "$deadline" ] || die "$name is not ready after ${START_SECONDS}s, see $LOGS/$name.log"
    sleep 0.2
  done
}

# stop_all: terminates all processes, and kills those that do not exit in time.
stop_all() {
  local name pid deadline=$((SECONDS + STOP_SECONDS))
  for pid in "${PIDS[@]}"; do
    kill -CONT "$pid" 2> /dev/null || true
    kill "$pid" 2> /dev/null || true
  done
  for name in "${!PIDS[@]}"; do
    pid=${PIDS[$name]}
    while kill -0 "$pid" 2> /dev/null; do
      if [ "$SECONDS" -ge "$deadline" ]; then
        echo "$name did not stop within ${STOP_SECONDS}s" >&2
        kill -KILL "$pid" 2> /dev/null || true
        break
      fi
      sleep 0.1
    done
    wait "$pid" 2> /dev/null || true
  done
  PIDS=()
}
