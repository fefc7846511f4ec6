#!/usr/bin/env bash
# Runs case 10: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/review/standins-2/testdata/bin/case10
if [ ! -x "$root/bin/wellgw" ] || [ ! -x "$program" ]; then
	echo "build the project as the deploy file says, then run review/build-2.sh" >&2
	exit 2
fi
timeout -k 3 116 "$program" -root "$root" -record "$here/record.txt"
case $? in
0) exit 0 ;;
1) exit 1 ;;
esac
exit 2
