#!/bin/sh
# Builds the stand-ins of the scripts. They are Python of the standard library
# alone, so that building means compiling them, which finds syntax errors. The
# entry processes need the build of deploy/system.toml, which is checked.
set -eu
cd "$(dirname "$0")"
test -d ../target/deps || {
    echo "target/deps is missing: run the build of deploy/system.toml" >&2
    exit 1
}
for file in stand_ins/*.py [1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
