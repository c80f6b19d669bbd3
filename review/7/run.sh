#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
root="$folder/../.."
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -Xmx128m -cp "$root/review/target/harness-2:$root/target/lib/*" \
    Case "$root" "$folder" GangFailedTwice
