#!/usr/bin/env bash
# Writes deploy/classes.lst, from which the build creates the class data sharing archive: runs one
# gateway against the simulated platform and records the classes it loads. Run it again after larger
# changes to the gateway.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests -pl samphiredyke-gateway -am package
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
java -cp "samphiredyke-gateway/target/test-classes:platform/target/test-classes:target/gateway.jar" \
  io.samphiredyke.gateway.TrainingPlatform "$work/settings" &
platform=$!
while [ ! -s "$work/settings" ]; do sleep 0.1; done
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:DumpLoadedClassList="$work/classes" \
  -cp target/gateway.jar io.samphiredyke.gateway.GatewayMain "$work/settings" >/dev/null &
gateway=$!
wait $platform
kill -TERM $gateway
wait $gateway || true
cp "$work/classes" deploy/classes.lst
wc -l deploy/classes.lst
