#!/usr/bin/env bash
# Exits with 1 if under half as many taken-up streams went on as new ones began, 0 if not, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case "${TROUBLE:-1}" in
0) trouble=without ;;
*) trouble=with ;;
esac
[ -x review/bin/stand ] && [ -x target/trefoillanding-gateway ] || exit 2
exec review/bin/stand lost-origins "$here/record.txt" "$trouble"
