#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Exit code 1: rule broken; 0: it held; 2: could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
java="${JAVA_HOME:+$JAVA_HOME/bin/}java"
exec "$java" -Xmx256m -XX:TieredStopAtLevel=1 -cp "review/target:target/lib/*" "review.$2" "$1"
