#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
python3 case.py &
child=$!
trap 'kill -TERM "$child"' TERM INT
wait "$child"
status=$?
if [ "$status" -gt 128 ]; then
  wait "$child"
  status=$?
fi
# The script itself ends with 10 for a broken rule; Python ends with 1 after an error.
case "$status" in
  10) exit 1 ;;
  0) exit 0 ;;
  *) exit 2 ;;
esac
