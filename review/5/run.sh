#!/bin/sh
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
repository=$(cd "$folder/../.." && pwd) || exit 2
work=$(mktemp -d) || exit 2
"$repository/target/review-2/standin-2" blobs "$repository" "$work" \
    "$folder/record.txt" "${TROUBLE:-1}"
code=$?
rm -rf "$work"
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
