#!/usr/bin/env bash
# Plays the case "kind": 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption. KEEP=1 keeps the daemons' logs.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/dahliawinchd ] && [ -x target/reviewdriver ] || exit 2
exec target/reviewdriver kind "$here"
