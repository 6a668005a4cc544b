#!/usr/bin/env bash
# Plays the case on the real programs. Exits with 1 if the rule was broken, 0 if
# it held and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
# No folder of bytecode beside the stand-in.
exec python3 -B "$here/run.py" "${TROUBLE:-1}" "$here/record.txt"
