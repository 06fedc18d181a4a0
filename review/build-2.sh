#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:-options --release 17 -d target/review-2 review/standins-2/src/test/java/*.java
