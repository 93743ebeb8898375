#!/usr/bin/env bash
# The stand-ins are plain JavaScript, which runs as it is. This checks that each file parses, and that what the scripts
# start is there: the build of the deploy file, and the Node.js that it has installed.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export PATH="$PWD/node_modules/.bin:$PATH"
for file in review/*.mjs review/*/*.mjs; do
    node --check "$file"
done
test -x target/foxlead
