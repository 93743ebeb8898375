#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
timeout --preserve-status -k 3 112 node_modules/.bin/node review/8/case.mjs
case $? in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
