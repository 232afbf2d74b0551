#!/bin/sh
# Plays the case; see claim.txt. With TROUBLE=0 the disruption is left out. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review/release/review-stand-ins
[ -x "$program" ] && [ -x target/release/sedgebeam ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
TMPDIR=$folder "$program" case cancel-in-upgrade "$PWD" "$here/record.txt"
status=$?
rm -rf "$folder"
exit $status
