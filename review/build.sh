#!/bin/sh
# Builds the stand-ins that the scripts start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac -d target/classes stand-ins/*.java
