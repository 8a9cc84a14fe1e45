#!/usr/bin/env bash
# Builds the stand-in program that the scripts start, into review/bin. It uses only the
# Go standard library and this module's own packages.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/stand ./review/platform/_stand
