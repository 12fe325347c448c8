#!/bin/sh
# Builds the stand-ins and cases with the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac --release 17 -d target/classes standins/*.java
