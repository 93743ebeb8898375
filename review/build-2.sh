#!/bin/sh
# The stand-ins of review/4 and on, the project's own too, are run from their sources by the Node.js of the lock file: nothing is
# compiled. This checks that Node.js is there and loads each of them.
cd "$(dirname "$0")/.." || exit 1
exec node_modules/.bin/node review/load-2.mjs
