#!/bin/sh
# Builds what the scripts of the second review start: the stand-ins in `rig/`
# are plain JavaScript without dependencies and are only checked here.
set -eu
cd "$(dirname "$0")"
for file in rig/*.js; do node --check "$file"; done
