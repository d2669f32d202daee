#!/bin/sh
# packages.sh PACKAGE...: installs the Debian packages that are missing.
missing=
for package in "$@"; do
	dpkg -s "$package" > /dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
sudo=
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -q && $sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -q $missing
