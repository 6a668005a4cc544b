#!/usr/bin/env bash
# Checks what the scripts under review/ start. The stand-ins are Python programs
# and need no compiler; the daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/platform_standin.py review/*/run.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x target/src/daemon/apricotwheeld || {
  echo "target/ has no daemon; run the build line of deploy/system.toml" >&2
  exit 1
}
