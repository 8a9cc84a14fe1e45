#!/usr/bin/env bash
# Exits with 1 if a payment that has run was answered 429 or 503, 0 if none was, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/bin/stand ] && [ -x target/trefoillanding-gateway ] || exit 2
exec review/bin/stand failed-payments "$here/record.txt"
