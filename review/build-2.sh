#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/target/harness-2. They use no module of the
# project; JSON is read with the library that the deploy file's build has put into target/lib.
set -euo pipefail
cd "$(dirname "$0")/.."
javac="${JAVA_HOME:+$JAVA_HOME/bin/}javac"
rm -rf review/target/harness-2
mkdir -p review/target/harness-2
"$javac" -nowarn -d review/target/harness-2 -cp "target/lib/*" review/harness-2/*.java
