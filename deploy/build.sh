#!/bin/sh
# Put the locked libraries and the product's packages under target/deps.
set -eu
stamp=target/deps/.libraries
if [ ! -e "$stamp" ] || [ requirements.lock -nt "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --require-hashes --target target/deps \
        --requirement requirements.lock
    touch "$stamp"
fi
rm -rf target/deps/lagoonrun_*
for source in packages/*/src/* platform/src/*; do
    case "$source" in
        *.egg-info | *standins) ;;
        *) cp -r "$source" target/deps/ ;;
    esac
done
python3 -m compileall -q target/deps/lagoonrun_* || true
