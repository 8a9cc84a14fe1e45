#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 and later, the project's own (platform/tlstand)
# among them, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/platform/_rig2
