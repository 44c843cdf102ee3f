# Convenience targets for the CMake build. `make help` lists the main ones.
BUILD ?= build
SIM_SEEDS ?= 10000
SECONDS ?= 180
SEED ?= 1
SOURCES = $(shell git ls-files 'src/*.c' 'src/*.h' 'platform/*.c' 'platform/*.h' 'tests/*.c' 'tests/*.h' | grep -v '^src/generated/')

.PHONY: help deps build demo fleet test test-asan test-tsan lint format fuzz soak bench clean

help:
	@echo "deps     install what the build and the tests need"
	@echo "build    build everything under $(BUILD)/"
	@echo "demo     install, build, run one daemon and then a fleet, and verify the results"
	@echo "fleet    run three daemons and the emulator until stopped"
	@echo "test     unit, scripted, integration and fuzz tests, the soak, simulated schedules"
	@echo "lint     formatter and static checks"
	@echo "fuzz     run each fuzz target for a minute"
	@echo "soak     real daemons under random faults: SECONDS=180 SEED=1"
	@echo "bench    measure cost and latency; figures and a plot under $(BUILD)/bench/"

deps:
	@scripts/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >$(BUILD).log 2>&1 || (cat $(BUILD).log; exit 1)
	@cmake --build $(BUILD)

demo: build
	@scripts/demo $(BUILD)

fleet: build
	@scripts/fleet $(BUILD)

test: build
	@scripts/run-tests $(BUILD) $(SIM_SEEDS)

test-asan: deps
	@cmake -S . -B $(BUILD)-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DBANKBANK_ASAN=ON >/dev/null
	@cmake --build $(BUILD)-asan
	@scripts/run-tests $(BUILD)-asan 300

test-tsan: deps
	@cmake -S . -B $(BUILD)-tsan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DBANKBANK_TSAN=ON >/dev/null
	@cmake --build $(BUILD)-tsan
	@scripts/run-tests $(BUILD)-tsan 100

lint: deps
	@scripts/lint $(SOURCES)

format:
	@clang-format -i $(SOURCES)

fuzz: deps
	@scripts/fuzz

soak: build
	@$(BUILD)/tests/soak $(BUILD) $(SECONDS) $(SEED)

bench: build
	@scripts/bench $(BUILD)

clean:
	@rm -rf $(BUILD) $(BUILD)-asan $(BUILD)-tsan $(BUILD)-fuzz $(BUILD).log
