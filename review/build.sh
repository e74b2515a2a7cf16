#!/bin/sh
# The stand-ins under review/standins are plain JavaScript modules of Node.js without dependencies: nothing to build.
set -e
cd "$(dirname "$0")"
for file in standins/*.mjs; do node --check "$file"; done
