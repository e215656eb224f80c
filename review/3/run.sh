#!/usr/bin/env bash
# Case 3. Needs the build of the deploy file and review/build.sh. Exit: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 115 review/tools/target/release/long-body "$here/record.txt" "$folder"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
