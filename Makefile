# make run: sets up and starts a gateway with stand-ins. make test: sets up, checks and tests. make day: the bad day.
VENV ?= .venv
PY = $(VENV)/bin/python
# Lanes beside the rest of the tests: of many processes (two), of the platform's sockets. They wait more than they compute.
SEVERAL = tests/test_owning.py tests/test_scale.py
LENDING = tests/test_lending.py tests/test_regions.py
SOCKETS = tests/test_crossings.py tests/test_final_answers.py tests/test_platform_sockets.py tests/test_ramp.py

$(VENV)/ready: requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	touch $@

.PHONY: run test day setup bench
# Guards against a start that compiles our sources each time, where the file system is read-only after the build.
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
	$(PY) -m pytest -q $(SEVERAL:%=--ignore=%) $(LENDING:%=--ignore=%) $(SOCKETS:%=--ignore=%); rest=$$?; \
	wait $$several; several=$$?; wait $$lending; lending=$$?; wait $$sockets; sockets=$$?; \
	cat $(VENV)/several.txt $(VENV)/lending.txt $(VENV)/sockets.txt; \
	test $$rest = 0 && test $$several = 0 && test $$lending = 0 && test $$sockets = 0

day: $(VENV)/ready
	$(PY) -m ledgehitch --log text rehearse days/bad-day.lh $(ARGS)

bench: $(VENV)/ready
	$(PY) -m benchmarks $(ARGS)
