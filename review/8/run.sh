#!/bin/sh
# TWICE: a dispatcher is lost while a drained worker, whose entry has expired, still runs a task.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the
# disruption. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/release/cranberrytray-platform ] && [ -x target/review-2/stand-2 ] || exit 2
# maxFds of the settings, for each process of a machine.
ulimit -n 3075 || exit 2
exec target/review-2/stand-2 drained "$here/record.txt"
