#!/usr/bin/env bash
# TROUBLE=0 plays the case without its disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec python3 -B review/2/case.py
