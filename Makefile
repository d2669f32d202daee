# make demo and make check run on a fresh Debian machine; they install the packages they need.
PACKAGES = meson ninja-build pkg-config gcc clang clang-format clang-tidy curl \
	liburcu-dev libzmq3-dev libcivetweb-dev libcurl4-openssl-dev libjansson-dev \
	libmpack-dev libinih-dev libxxhash-dev libcunit1-dev libmicrohttpd-dev libhttp-parser-dev zlib1g-dev \
	spin libclang-rt-14-dev
BUILD = build

.PHONY: demo check packages build bench clean

packages:
	@test/packages.sh $(PACKAGES)

build: packages
	@[ -f $(BUILD)/build.ninja ] || meson setup $(BUILD) > /dev/null
	@ninja -C $(BUILD)

demo: build
	@BUILD=$(BUILD) bash test/demo.sh
	@BUILD=$(BUILD) bash test/platform.sh

check: build
	@BUILD=$(BUILD) bash test/check.sh

bench: build
	@BUILD=$(BUILD) bash bench/run.sh

clean:
	rm -rf $(BUILD) build-fuzz build-sanitised
