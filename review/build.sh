#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/review/, each case as one file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in ${CASES:-review/[1-5]/case.ts}; do
    number="$(basename "$(dirname "$case")")"
    node_modules/.bin/esbuild "$case" --bundle --platform=node --target=node20 --format=esm \
        --banner:js="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" \
        --outfile="target/review/case-$number.mjs" --log-level=warning
done
