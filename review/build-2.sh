#!/bin/sh
# Builds the stand-ins and the drivers of the cases of the second review into target/review-2.
set -e
cd "$(dirname "$0")/.."
for source in review/*/case-2.ts; do
    folder=$(basename "$(dirname "$source")")
    npx --no-install esbuild "$source" --bundle --platform=node --target=node20 --format=esm \
        --alias:rxjs=./node_modules/rxjs/dist/esm/index.js --outfile="target/review-2/case-$folder.mjs" --log-level=warning
done
