#!/usr/bin/env bash
# Compiles the stand-ins and the cases, which use nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/src/test/java/review/*.java
