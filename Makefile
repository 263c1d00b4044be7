# Thin front end of meson and ninja. See README.md.

BUILD := build
SANITIZED := build-sanitized
WARNINGS := --warnlevel 2 --werror

.PHONY: all deps check lint format demo bench scenario fuzz clean

all: $(BUILD)/build.ninja
	ninja -C $(BUILD)

deps:
	@scripts/install-deps

$(BUILD)/build.ninja: | deps
	meson setup $(BUILD) $(WARNINGS) --buildtype debugoptimized

$(SANITIZED)/build.ninja: | deps
	meson setup $(SANITIZED) $(WARNINGS) --buildtype debugoptimized \
		-Db_sanitize=address,undefined -Db_lundef=false

check: all $(SANITIZED)/build.ninja
	scripts/lint $(BUILD)
	ninja -C $(SANITIZED)
	meson test -C $(BUILD) --print-errorlogs
	meson test -C $(SANITIZED) --print-errorlogs

lint: all
	scripts/lint $(BUILD)

format:
	git ls-files --cached --others --exclude-standard '*.c' '*.h' | xargs clang-format -i

demo: all
	$(BUILD)/standins/parsleyladder-scenario scenarios/demo.scenario

# All scenarios, or the one given as SCENARIO=NAME; fails if one of them fails.
scenario: all
	@failed=0; for file in scenarios/$(or $(SCENARIO),*).scenario; do \
		$(BUILD)/standins/parsleyladder-scenario $$file || failed=1; \
	done; exit $$failed

clean:
	rm -rf $(BUILD) $(SANITIZED)
