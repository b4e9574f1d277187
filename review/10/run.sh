#!/bin/bash
# Usage: review/N/run.sh, after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
exec node review/10/run.mjs
