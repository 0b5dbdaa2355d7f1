#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need. Does nothing when all are present.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache git ca-certificates curl
    clang clang-format clang-tidy libclang-rt-14-dev
    libboost1.81-dev libboost-program-options1.81-dev
    libcereal-dev libcurl4-openssl-dev libfmt-dev libmicrohttpd-dev libsodium-dev libxxhash-dev nlohmann-json3-dev
    libgtest-dev libbenchmark-dev
    spin gnuplot-nox jq
)
missing=()
for it in "${packages[@]}"; do
    if dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'install ok installed'; then
        continue
    fi
    missing+=("$it")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
run=()
if [ "$(id -u)" -ne 0 ]; then
    run=(sudo)
fi
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
