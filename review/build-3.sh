#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 to review/15: one program, which also has the project's
# own stand-ins of the store and the targets. It needs the build of the deploy file before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/rig3
