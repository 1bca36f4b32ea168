#!/bin/sh
# Installs the missing Debian packages that building the node, its tests and the lab requires. The argument `plots` adds
# gnuplot, with which the lab's reports draw plots.
set -eu
wanted="cmake g++ nlohmann-json3-dev libgtest-dev libcli11-dev libspdlog-dev libsodium-dev libtomlplusplus-dev libxxhash-dev
libical-dev libhowardhinnant-date-dev tzdata clang-format clang-tidy-19 ccache python3"
[ "${1:-}" != plots ] || wanted="$wanted gnuplot-nox"
missing=""
for package in $wanted; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
# Other Debian releases have a later Boost in the unversioned package.
boost=""
dpkg -s libboost1.81-dev >/dev/null 2>&1 || dpkg -s libboost-dev >/dev/null 2>&1 || boost=libboost1.81-dev
[ -n "$missing$boost" ] || exit 0
apt-get update -qq
[ -z "$boost" ] || apt-cache show "$boost" >/dev/null 2>&1 || boost=libboost-dev
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing $boost
