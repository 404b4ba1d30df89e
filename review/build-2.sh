#!/bin/sh
# Builds the stand-ins of the second review into target/review-2; needs the Java compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standin-2/*.java
