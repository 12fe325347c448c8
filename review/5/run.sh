#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/target/classes/standins/DeadlyPart.class ] && [ -d target/lib ] || { echo "build the deploy file and review/build.sh first"; exit 2; }
exec java -cp review/target/classes standins.DeadlyPart review/5
