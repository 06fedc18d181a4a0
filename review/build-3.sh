#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15 with the JDK alone, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -Xlint:-options --release 17 -d target/review-3 review/standins-3/src/test/java/review3/*.java
