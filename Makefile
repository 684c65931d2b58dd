# Front end to the CMake build. "make check" and "make demo" need nothing
# prepared: they install missing Debian packages and build first.

BUILD ?= build
SANITIZED ?= build-asan
JOBS ?= 6

.PHONY: all deps build check format demo soak measure clean

all: build

deps:
	@Tools/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

check: build
	@Tools/check-format
	@Tools/check-days
	@Tools/check-lint $(BUILD)
	@cmake -S . -B $(SANITIZED) -G Ninja -DAQ_SANITIZE=ON \
	    -DCMAKE_BUILD_TYPE=Debug >/dev/null
	@cmake --build $(SANITIZED) -j $(JOBS)
	@Tools/run-tests $(BUILD) $(SANITIZED)

demo: build
	@$(BUILD)/packages/testkit/aq-demo --bin $(BUILD)/packages \
	    --directory $(BUILD)/demo

# Real nodes under random faults: make soak SOAK_S=600 SEED=7 NODES=9
# MOVES=moves sends the queue to another pool with each second configuration.
SOAK_S ?= 120
SEED ?= 1
NODES ?= 3
MOVES ?=

soak: build
	@$(BUILD)/platform/tests/aq-soak $(BUILD)/platform/tests/aq-stand-in \
	    $(BUILD)/packages/daemon/amaranthquayd $(SOAK_S) $(SEED) $(NODES) $(MOVES)

format:
	@git ls-files -co --exclude-standard 'packages/*.c' 'packages/*.h' 'platform/*.c' 'platform/*.h' \
	    'packages/*.cpp' | xargs clang-format -i

clean:
	rm -rf $(BUILD) $(SANITIZED)
