#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/target. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
javac -nowarn -d target standin/review/*.java
