# make run: sets up and starts a gateway with stand-ins. make test: sets up, lints, type-checks and runs the tests.
# make day: runs days/bad-day.lh. make bench: runs the benchmarks.
VENV ?= .venv
PY = $(VENV)/bin/python
# Groups of tests that run in parallel with the rest, since they wait more than they compute: two groups that start
# many processes, one that uses the platform's sockets, one of faults that last for seconds, and one of media hosts
# that are replaced.
SEVERAL = tests/test_owning.py tests/test_scale.py
LENDING = tests/test_lending.py tests/test_regions.py
SOCKETS = tests/test_crossings.py tests/test_final_answers.py tests/test_many_hosts.py \
	tests/test_memory_limits.py tests/test_platform_sockets.py tests/test_ramp.py
FAULTS = tests/test_field_reports.py tests/test_lost_releases.py tests/test_slow_journal.py
REPLACED = tests/test_dense_trials.py tests/test_replaced_processes.py

$(VENV)/ready: requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	touch $@

.PHONY: run test day setup bench
# Compiles the sources ahead of time: on a file system that is read-only after the build, each start would otherwise
# compile them again.
setup: $(VENV)/ready
	$(PY) -m compileall -q ledgehitch

run: $(VENV)/ready
	@exec $(PY) -m ledgehitch --log text up $(ARGS)

test: $(VENV)/ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports
	$(PY) -m pytest -q $(SEVERAL) > $(VENV)/several.txt 2>&1 & several=$$!; \
	$(PY) -m pytest -q $(LENDING) > $(VENV)/lending.txt 2>&1 & lending=$$!; \
	$(PY) -m pytest -q $(SOCKETS) > $(VENV)/sockets.txt 2>&1 & sockets=$$!; \
	$(PY) -m pytest -q $(FAULTS) > $(VENV)/faults.txt 2>&1 & faults=$$!; \
	$(PY) -m pytest -q $(REPLACED) > $(VENV)/replaced.txt 2>&1 & replaced=$$!; \
	$(PY) -m pytest -q $(SEVERAL:%=--ignore=%) $(LENDING:%=--ignore=%) $(SOCKETS:%=--ignore=%) \
		$(FAULTS:%=--ignore=%) $(REPLACED:%=--ignore=%); rest=$$?; \
	wait $$several; several=$$?; wait $$lending; lending=$$?; wait $$sockets; sockets=$$?; \
	wait $$faults; faults=$$?; wait $$replaced; replaced=$$?; \
	cat $(VENV)/several.txt $(VENV)/lending.txt $(VENV)/sockets.txt $(VENV)/faults.txt $(VENV)/replaced.txt; \
	test $$rest = 0 && test $$several = 0 && test $$lending = 0 && test $$sockets = 0 && test $$faults = 0 && \
		test $$replaced = 0

day: $(VENV)/ready
	$(PY) -m ledgehitch --log text rehearse days/bad-day.lh $(ARGS)

bench: $(VENV)/ready
	$(PY) -m benchmarks $(ARGS)
