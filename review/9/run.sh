#!/usr/bin/env bash
# Runs the case against the router that the build of the deploy file has left, with the stand-ins of review/build-2.sh.
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/release/review-cases-2
for needed in "$program" "$root/target/release/hoptiller"; do
    [ -x "$needed" ] || { echo "$needed is missing: build first" >&2; exit 2; }
done
folder=$(mktemp -d) || exit 2
child=
end() {
    [ -z "$child" ] || kill "$child" 2>/dev/null
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' HUP INT TERM
TROUBLE=${TROUBLE:-1} "$program" long-requests "$root" "$folder" "$here/record.txt" &
child=$!
wait "$child"
code=$?
child=
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
