#!/usr/bin/env bash
# Plays the case; see run.mjs. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 plays it without the disruption. What was sent, answered and run goes to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
exec timeout --signal=INT --kill-after=5 118 node run.mjs
