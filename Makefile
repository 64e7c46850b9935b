# The entries that a newcomer needs; everything else is CMake.
BUILD ?= build
BUILD_TYPE ?= RelWithDebInfo

.PHONY: all install build test demo bench bench-faults format lint clean

all: build

install:
	.ci/install

$(BUILD)/build.ninja:
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=$(BUILD_TYPE)

build: install $(BUILD)/build.ninja
	cmake --build $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4 -LE sanitize

demo: build
	$(BUILD)/anvilcart-demo-service --binaries $(BUILD)
	$(BUILD)/anvilcart-demo --binaries $(BUILD)

bench: build
	$(BUILD)/anvilcart-bench --binaries $(BUILD) --mode throughput
	$(BUILD)/anvilcart-bench --binaries $(BUILD) --mode slopes
	$(BUILD)/anvilcart-bench --binaries $(BUILD) --fault none --load 0.8 --load 0.95 --plot $(BUILD)/slowdown.svg

bench-faults: build
	$(BUILD)/anvilcart-bench --binaries $(BUILD) --plot $(BUILD)/slowdown.svg

format:
	.ci/format --fix

lint: build
	.ci/lint $(BUILD)

clean:
	cmake --build $(BUILD) --target clean
