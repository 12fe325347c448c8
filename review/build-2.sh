#!/bin/sh
# Builds the stand-ins and the scripts of the cases 6 to 10 with the JDK alone. Run it in any folder.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/stand-ins-2 review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null > target/review-2/sources || true
javac -encoding UTF-8 -d target/review-2 @target/review-2/sources
