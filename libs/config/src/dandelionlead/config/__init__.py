"""Settings and configuration files: parsing, checking, model and parts."""

from dandelionlead.config import check

load_operators = check.load_operators
load_process = check.load_process
