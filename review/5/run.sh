#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/egretrampd target/review/driver; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review/driver -case stopping -record review/5/record.txt
