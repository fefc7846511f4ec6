#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
name=case$(basename "$here")
if [ ! -x "$root/bin/wellgw" ]; then
	(cd "$root" && eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)") >&2 || exit 2
fi
bash "$root/review/build.sh" >&2 || exit 2
"$root/review/bin/$name" -root "$root" -record "$here/record.txt"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
