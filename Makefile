# Wrapper around meson and ninja. See README.md.

BUILD := build
SANITIZED := build-sanitized
FUZZ := build-fuzz
FUZZ_SECONDS := 60
FUZZ_TARGETS := $(addprefix fuzz/fuzz-,configuration platform settings sharing-message)
WARNINGS := --warnlevel 2 --werror

.PHONY: all deps check lint format explore scenario soak report fuzz clean

all: $(BUILD)/build.ninja
	ninja -C $(BUILD)

deps:
	@scripts/install-deps

$(BUILD)/build.ninja: | deps
	meson setup $(BUILD) $(WARNINGS) --buildtype debugoptimized

$(SANITIZED)/build.ninja: | deps
	meson setup $(SANITIZED) $(WARNINGS) --buildtype debugoptimized \
		-Db_sanitize=address,undefined -Db_lundef=false

check: all $(SANITIZED)/build.ninja $(FUZZ)/build.ninja
	scripts/lint $(BUILD)
	ninja -C $(SANITIZED)
	ninja -C $(FUZZ) $(FUZZ_TARGETS)
	rm -rf $(FUZZ)/corpus
	scripts/fuzz $(FUZZ) -runs=20000 -seed=1
	scripts/run-tests $(BUILD) $(SANITIZED)

lint: all
	scripts/lint $(BUILD)

format:
	git ls-files --cached --others --exclude-standard '*.c' '*.h' | xargs clang-format -i

# make soak SEEDS=1-50 SECONDS=20; logs and settings go to out/soak.
SEEDS := 1-5
SECONDS := 20
soak: all
	$(BUILD)/standins/parsleyladder-soak $(BUILD)/parsleyladder/parsleyladder \
		--seeds $(SEEDS) --seconds $(SECONDS)

# make explore SEEDS=1-5000: simulates random faults on a manual clock.
explore: all
	EXPLORE_SEEDS=$(SEEDS) $(BUILD)/tests/sharing/test-sharing-explore

# Runs all scenarios, or the one given as FILE; fails if any of them fails.
scenario: all
	@failed=0; for file in $(or $(FILE),scenarios/*.scenario); do \
		echo $$file; $(BUILD)/standins/parsleyladder-soak \
			$(BUILD)/parsleyladder/parsleyladder \
			--scenario $$file || failed=1; \
	done; exit $$failed

# make report VARIANTS="before=/path/to/parsleyladder now=build/parsleyladder/parsleyladder"
VARIANTS := now=$(BUILD)/parsleyladder/parsleyladder
report: all
	scripts/experiment $(BUILD)/standins/parsleyladder-soak out/report $(VARIANTS)

# make fuzz FUZZ_SECONDS=600 runs each target for ten minutes.
$(FUZZ)/build.ninja: | deps
	CC=clang meson setup $(FUZZ) -Dfuzz=true

fuzz: $(FUZZ)/build.ninja
	ninja -C $(FUZZ) $(FUZZ_TARGETS)
	scripts/fuzz $(FUZZ) -max_total_time=$(FUZZ_SECONDS)

clean:
	rm -rf $(BUILD) $(SANITIZED) $(FUZZ)
