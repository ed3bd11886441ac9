#!/bin/bash
# Runs a case five times, and once without its disruption; prints the exit codes. usage: review/five.sh N
cd "$(dirname "$0")" || exit 2
for number in 1 2 3 4 5; do
  "$1/run.sh"
  echo "run $number: exit code $?"
done
TROUBLE=0 "$1/run.sh"
echo "TROUBLE=0: exit code $?"
