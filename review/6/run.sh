#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/review/stand-ins-2/target/release/prepared-database
if [ ! -x "$program" ] || [ ! -x "$root/target/release/dewpier" ]; then
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
fi
exec "$program" "$root" "$here"
