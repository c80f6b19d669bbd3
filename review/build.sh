#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into review/target/, against the libraries that the
# build of the deploy file has put into target/lib.
set -euo pipefail
cd "$(dirname "$0")/.."
javac="${JAVA_HOME:+$JAVA_HOME/bin/}javac"
rm -rf review/target
mkdir -p review/target
"$javac" -Xlint:all -cp "target/lib/*" -d review/target review/harness/*.java
