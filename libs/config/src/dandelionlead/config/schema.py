"""Schemas of the operators' file and of a process's settings file."""

from __future__ import annotations

from dandelionlead.config import fields
from dandelionlead.config import model

MAX_ZONES = 64
MAX_TEAMS = 20_000
MAX_MODELS = 100
MAX_VERSIONS = 16
MAX_ROUTES = 1_000
MAX_SERVICES = 100
MAX_ENDPOINTS = 10_000
MAX_KEYS_PER_TEAM = 8

# Invariant 4: a version that has not been judged gets at most 5% of traffic.
MAX_UNJUDGED_SHARE = 0.05
MAX_TIMEOUT_S = 3_600.0
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_OUTPUT_TOKENS = 200_000
MAX_MEMORY_TOKENS = 100_000_000

GENERATION_PATHS = ("/v1/chat/completions", "/v1/completions")

_ZONE = fields.Object(
    {
        "region": fields.Field(fields.name(), required=True),
        "state": fields.Field(fields.Choice(model.OPEN, model.CLOSED)),
    }
)

_TEAM = fields.Object(
    {
        "weight": fields.Field(fields.Number(0.01, 1_000)),
        "key_digests": fields.Field(
            fields.Array(fields.HexDigest(), 1, MAX_KEYS_PER_TEAM),
            required=True,
        ),
        "max_concurrent": fields.Field(fields.Number(1, 100_000, whole=True)),
    }
)

_VERSION = fields.Object(
    {"weights": fields.Field(fields.Text(), required=True)}
)

_MODEL = fields.Object(
    {
        "versions": fields.Field(
            fields.Table(_VERSION, 1, MAX_VERSIONS), required=True
        ),
        "current": fields.Field(fields.name(), required=True),
        "next": fields.Field(fields.name()),
        "deadline": fields.Field(fields.Time()),
        "max_unjudged_share": fields.Field(
            fields.Number(0.0001, MAX_UNJUDGED_SHARE)
        ),
        "prior_output_tokens": fields.Field(
            fields.Number(1, MAX_OUTPUT_TOKENS, "tokens", whole=True)
        ),
        "first_token_target_s": fields.Field(
            fields.Number(0.001, 600, "seconds")
        ),
        "token_gap_target_s": fields.Field(fields.Number(0.001, 60, "seconds")),
    }
)

_ROUTE = fields.Object(
    {
        "kind": fields.Field(
            fields.Choice(model.GENERATION, model.SERVICE), required=True
        ),
        "path": fields.Field(fields.http_path(), required=True),
        "model": fields.Field(fields.name()),
        "service": fields.Field(fields.name()),
        "repeatable": fields.Field(fields.Flag()),
        "priority": fields.Field(fields.Number(0, 9, whole=True)),
        "timeout_s": fields.Field(fields.Number(0.01, MAX_TIMEOUT_S)),
        "max_body_bytes": fields.Field(
            fields.Number(1, MAX_BODY_BYTES, "bytes", whole=True)
        ),
        "max_tokens": fields.Field(
            fields.Number(1, MAX_OUTPUT_TOKENS, "tokens", whole=True)
        ),
    }
)

_SERVICE = fields.Object(
    {"base_path": fields.Field(fields.http_path(), required=True)}
)

_ENDPOINT = fields.Object(
    {
        "kind": fields.Field(
            fields.Choice(model.ENGINE, model.SERVICE), required=True
        ),
        "address": fields.Field(fields.Address(), required=True),
        "availability_zone": fields.Field(fields.name(), required=True),
        "model": fields.Field(fields.name()),
        "version": fields.Field(fields.name()),
        "service": fields.Field(fields.name()),
        "memory_tokens": fields.Field(
            fields.Number(1, MAX_MEMORY_TOKENS, "tokens", whole=True)
        ),
        "max_concurrent": fields.Field(fields.Number(1, 10_000, whole=True)),
        "checks_fencing": fields.Field(fields.Flag()),
        "state": fields.Field(fields.Choice(model.ACTIVE, model.LEAVING)),
    }
)

_ADMISSION = fields.Object(
    {
        "policy": fields.Field(
            fields.Choice(
                model.BY_LENGTHS, model.BY_COUNT, model.BY_LOAD_REPORT
            )
        ),
        "quantile": fields.Field(fields.Number(0.5, 0.9999)),
        "deviations": fields.Field(fields.Number(0, 10)),
        "count_limit": fields.Field(fields.Number(1, 10_000, whole=True)),
    }
)

OPERATORS = fields.Object(
    {
        "availability_zones": fields.Field(
            fields.Table(_ZONE, 1, MAX_ZONES), required=True
        ),
        "teams": fields.Field(fields.Table(_TEAM, 1, MAX_TEAMS), required=True),
        "models": fields.Field(fields.Table(_MODEL, 0, MAX_MODELS)),
        "routes": fields.Field(
            fields.Table(_ROUTE, 1, MAX_ROUTES), required=True
        ),
        "services": fields.Field(fields.Table(_SERVICE, 0, MAX_SERVICES)),
        "endpoints": fields.Field(
            fields.Table(_ENDPOINT, 1, MAX_ENDPOINTS), required=True
        ),
        "admission": fields.Field(_ADMISSION),
    }
)

PROCESS = fields.Object(
    {
        "name": fields.Field(fields.name(), required=True),
        "instance": fields.Field(fields.name()),
        "role": fields.Field(
            fields.Choice(model.ENTRY, model.STEWARD, model.OPERATOR),
            required=True,
        ),
        "availability_zone": fields.Field(fields.name()),
        "http_address": fields.Field(fields.Address()),
        "control_address": fields.Field(fields.Address()),
        "advertised_http": fields.Field(fields.Address()),
        "advertised_control": fields.Field(fields.Address()),
        "platform": fields.Field(fields.Url(), required=True),
        "peer_key": fields.Field(fields.Secret(), required=True),
        "resume_keys": fields.Field(fields.Array(fields.Secret(), 1, 2)),
        "drain_limit_s": fields.Field(fields.Number(1, 86_400, "seconds")),
        "address_max_age_s": fields.Field(fields.Number(1, 60, "seconds")),
        "log_level": fields.Field(
            fields.Choice("debug", "info", "warning", "error")
        ),
        "max_body_bytes": fields.Field(
            fields.Number(1, MAX_BODY_BYTES, "bytes", whole=True)
        ),
        "max_header_bytes": fields.Field(
            fields.Number(1_024, 1024 * 1024, "bytes", whole=True)
        ),
    }
)
