# Commands of the project; README.md explains them.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
MEMBERS := $(sort $(wildcard libs/*))
SOURCES := $(subst $(eval ) ,:,$(addsuffix /src,$(addprefix $(CURDIR)/,$(MEMBERS))))
SEED ?= 1
EXAMPLES ?= 200
MINUTES ?= 1
export PYTHONPATH := $(SOURCES)
export PYTHONHASHSEED := 0

.PHONY: env test lint format fuzz soak demo thrift clean

env: $(VENV)/.ready

$(VENV)/.ready: requirements.txt $(addsuffix /pyproject.toml,$(MEMBERS))
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
	  --no-build-isolation $(addprefix -e ./,$(MEMBERS))
	touch $@

test: env
	$(BIN)/python tools/run_tests.py

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/check_imports.py

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

fuzz: env
	DANDELION_FUZZ_SEED=$(SEED) DANDELION_FUZZ_EXAMPLES=$(EXAMPLES) \
	  $(BIN)/python tools/run_tests.py --fuzz-only

soak: env
	$(BIN)/python tools/soak.py --seed $(SEED) --minutes $(MINUTES)

demo: env
	$(BIN)/python tools/demo.py

thrift:
	rm -rf build/thrift && mkdir -p build/thrift
	thrift --gen py:slots -out build/thrift libs/cluster/cluster.thrift
	cp build/thrift/dandelionlead/cluster/gen/*.py \
	  libs/cluster/src/dandelionlead/cluster/gen/

clean:
	rm -rf $(VENV)
