# make run: sets up and starts a gateway with stand-ins. make test: sets up, checks and tests. make day: the bad day.
VENV ?= .venv
PY = $(VENV)/bin/python
SEVERAL = tests/test_owning.py tests/test_lending.py tests/test_ramp.py

$(VENV)/ready: requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	touch $@

.PHONY: run test day setup bench
setup: $(VENV)/ready

run: $(VENV)/ready
	@exec $(PY) -m ledgehitch --log text up $(ARGS)

test: $(VENV)/ready
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports
	# Tests of many processes wait more than they compute: beside the others, so that all take half the time.
	$(PY) -m pytest -q $(SEVERAL) > $(VENV)/several.txt 2>&1 & several=$$!; \
	$(PY) -m pytest -q $(SEVERAL:%=--ignore=%); one=$$?; wait $$several; two=$$?; \
	cat $(VENV)/several.txt; test $$one = 0 && test $$two = 0

day: $(VENV)/ready
	$(PY) -m ledgehitch --log text rehearse days/bad-day.lh $(ARGS)

bench: $(VENV)/ready
	$(PY) -m benchmarks $(ARGS)
