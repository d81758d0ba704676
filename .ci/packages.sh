#!/bin/sh
# Proves that the packages of deploy/system.toml are all that a clean build needs: it runs the
# build in a copy of the checkout with nothing in PATH but the Go toolchain, the programs of
# those packages with what they depend on, and those of Debian's essential packages. Modules
# come from the machine's module cache; everything is compiled anew.
set -eu
cd "$(dirname "$0")/.."
packages=$(sed -n 's/^packages *= *\[\(.*\)\]/\1/p' deploy/system.toml | tr -d '",')
build=$(sed -n 's/^build *= *"\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$packages" ] && [ -n "$build" ] || { echo "deploy/system.toml: no packages or no build" >&2; exit 1; }
for package in $packages; do
	grep -q "\`$package\`" README.md || { echo "README.md does not list the package $package" >&2; exit 1; }
done
command -v dpkg-query >/dev/null || { echo "packages: not proved, this machine has no dpkg"; exit 0; }

folder=$(mktemp -d)
trap 'chmod -R u+w "$folder"; rm -rf "$folder"' EXIT
mkdir "$folder/bin" "$folder/source"

# What is installed, which of it the packages depend on, and which of that has programs.
dpkg-query -W -f '${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\n' >"$folder/installed"
awk -F '\t' -v wanted="$packages" '
	{
		needs[$1] = $3
		if ($2 == "yes") wanted = wanted " " $1
	}
	END {
		count = split(wanted, queue, " ")
		for (i = 1; i <= count; i++) {
			if (queue[i] in taken) continue
			if (!(queue[i] in needs)) {
				if (i <= split(wanted, asked, " ")) print "missing " queue[i]
				continue
			}
			taken[queue[i]] = 1
			print "take " queue[i]
			parts = split(needs[queue[i]], part, /[,|]/)
			for (k = 1; k <= parts; k++) {
				gsub(/\(.*\)|:any|[ \t]/, "", part[k])
				if (part[k] != "") queue[++count] = part[k]
			}
		}
	}' "$folder/installed" >"$folder/closure"
if grep -q '^missing ' "$folder/closure"; then
	sed -n 's/^missing /packages: not installed: /p' "$folder/closure" >&2
	exit 1
fi
sed -n 's/^take //p' "$folder/closure" | xargs dpkg-query -L >"$folder/files"
grep -E '^(/usr)?/s?bin/[^/]+$' "$folder/files" | while read -r program; do
	[ ! -x "$program" ] || ln -sf "$program" "$folder/bin/"
done

# The compiler finds headers and start files without PATH: they have to be of these packages.
for file in crt1.o libc.so; do
	path=$(realpath "$(gcc -print-file-name=$file)")
	grep -qxF -e "$path" -e "/usr$path" -e "${path#/usr}" "$folder/files" ||
		{ echo "packages: $path belongs to none of $packages" >&2; exit 1; }
done

git ls-files -co --exclude-standard -- . ':!journal' | tar cf - -T - | tar xf - -C "$folder/source"
goroot=$(go env GOROOT) modules=$(go env GOMODCACHE)
cd "$folder/source"
env -i "PATH=$goroot/bin:$folder/bin" "HOME=$folder" "GOCACHE=$folder/cache" "GOMODCACHE=$modules" GOFLAGS=-mod=readonly GOPROXY=off \
	"$folder/bin/sh" -c "$build"
[ -x target/yardservice ] || { echo "packages: the build made no target/yardservice" >&2; exit 1; }
echo "packages: a clean build needs $packages and what they depend on"
