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
wanted=$(find packages/*/src platform/src deploy/build.sh -type f \
    -not -path '*/__pycache__/*' -exec sha256sum {} + | sort | sha256sum)
if [ -e "$sources" ] && [ "$wanted" = "$(cat "$sources")" ]; then
    exit 0
fi
# One rename puts all packages in place: a process that starts meanwhile finds the
# ones before or these. Those before stay for a day, for processes that run.
version=.packages-$(echo "$wanted" | cut -c1-16)
if [ ! -e "target/deps/$version" ]; then
    building=target/deps/.building-$$
    mkdir "$building"
    for source in packages/*/src/* platform/src/*; do
        case "$source" in
            *.egg-info | *standins) ;;
            *) cp -r "$source" "$building/" ;;
        esac
    done
    python3 -m compileall -q "$building" -s "$building"
    mv -T "$building" "target/deps/$version" || rm -rf "$building"
fi
touch "target/deps/$version"
ln -s "$version" "target/deps/.next-$$"
mv -T "target/deps/.next-$$" target/deps/.current
for package in "target/deps/$version"/*; do
    name=$(basename "$package")
    if [ ! -L "target/deps/$name" ]; then
        rm -rf "target/deps/$name"
        ln -s ".current/$name" "target/deps/$name"
    fi
done
find target/deps -maxdepth 1 -name '.packages-*' -mtime +1 -exec rm -rf {} +
echo "$wanted" > "$sources"
