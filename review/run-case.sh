#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Exit code 1: rule broken; 0: it held; 2: could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
java="${JAVA_HOME:+$JAVA_HOME/bin/}java"
if [[ ! -f "review/target/review/$2.class" || ! -f target/lycheeroad.jar ]]; then
    echo "run-case: build first: tools/build-node, review/build.sh" >&2
    exit 2
fi
exec "$java" -Xmx256m -XX:TieredStopAtLevel=1 -cp "review/target:target/lib/*" "review.$2" "$1"
