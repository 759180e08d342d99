#!/bin/sh
# A server that leaves 1 s after the daemon beside it was stopped and started, as planned. Exits with 1 if
# DRAIN was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 doesn't stop the daemon. BORN=1
# lets the leave name the start of the server, with which the rule holds.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/target/review-2/release/review-2
[ -x "$program" ] && [ -x "$root/target/release/cyclamend" ] || exit 2
exec "$program" early-leave "$root" "$folder"
