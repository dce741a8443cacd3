#!/bin/sh
# Put the locked libraries and the product's packages under target/deps.
set -eu
libraries=target/deps/.libraries
sources=target/deps/.sources
if [ ! -e "$libraries" ] || [ requirements.lock -nt "$libraries" ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --require-hashes --target target/deps \
        --requirement requirements.lock
    touch "$libraries"
fi
# Days that are played side by side build side by side: one that has nothing
# to do must not touch what the others run from.
wanted=$(find packages/*/src platform/src deploy -type f \
    -not -path '*/__pycache__/*' -exec sha256sum {} + | sort | sha256sum)
if [ -e "$sources" ] && [ "$wanted" = "$(cat "$sources")" ]; then
    exit 0
fi
rm -rf target/deps/lagoonrun_*
for source in packages/*/src/* platform/src/*; do
    case "$source" in
        *.egg-info | *standins) ;;
        *) cp -r "$source" target/deps/ ;;
    esac
done
python3 -m compileall -q target/deps/lagoonrun_*
echo "$wanted" > "$sources"
