"""Program `dandelion-standin-engine`."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import cyclopts  # noqa: E402

from dandelionlead.standins import engine_control  # noqa: E402
from dandelionlead.standins import engine_core  # noqa: E402
from dandelionlead.standins import engine_http  # noqa: E402
from dandelionlead.standins import listening  # noqa: E402
from dandelionlead.standins import web  # noqa: E402

_app = cyclopts.App(name="dandelion-standin-engine", version_flags=())


@_app.default
def main(
    *,
    listen: str = "127.0.0.1:0",
    version: str = "v1",
    role: str = "both",
    checks_fence: bool = True,
    order_s: float = 0.0,
    step_s: float = 0.020,
    step_s_per_running: float = 0.0002,
    memory_total: int = 65_536,
    max_running: int = 256,
    cache_total: int = 32_768,
    cache_lag_s: float = 1.0,
    cache_event_loss: float = 0.1,
    load_lag_s: float = 1.0,
    retain_s: float = 60.0,
    cold_s: float = 0.0,
    cold_prefill_factor: float = 5.0,
    cold_memory_share: float = 0.1,
    cold_overload: str = "fail",
    crash_marker: str = "<standin-crash>",
    seed: int = 1,
) -> None:
    """Serves generations by continuous batching in steps.

    Args:
        listen: Address `IP:PORT`; port 0 takes a free port.
        version: Version that the engine starts with.
        role: Role that the engine starts with.
        checks_fence: Whether orders with an old fencing number are refused.
        order_s: Seconds that the engine takes to follow an order.
        step_s: Duration of a step with an empty batch.
        step_s_per_running: Additional duration for each running generation.
        memory_total: Memory in tokens.
        max_running: Largest batch.
        cache_total: Memory of the prefix cache in tokens.
        cache_lag_s: Seconds by which cache events are late.
        cache_event_loss: Share of cache events that are never seen.
        load_lag_s: Interval of load reports in seconds.
        retain_s: Seconds for which ended generations are kept.
        cold_s: Seconds after the start during which the engine is cold.
        cold_prefill_factor: Factor on prompt work while cold.
        cold_memory_share: Part of memory that may be in use while cold.
        cold_overload: What more use does: `none`, `fail` or `crash`.
        crash_marker: A prompt with this text ends the process with code 70.
        seed: Seed of random choices.
    """
    settings = engine_core.Settings(
        step_s=step_s,
        step_s_per_running=step_s_per_running,
        memory_total=memory_total,
        max_running=max_running,
        cache_total=cache_total,
        cache_lag_s=cache_lag_s,
        cache_event_loss=cache_event_loss,
        load_lag_s=load_lag_s,
        retain_s=retain_s,
        cold_s=cold_s,
        cold_prefill_factor=cold_prefill_factor,
        cold_memory_share=cold_memory_share,
        cold_overload=cold_overload,
        crash_marker=crash_marker,
        seed=seed,
    )
    control = engine_control.Control(
        version=version, role=role, checks_fence=checks_fence
    )
    listener = listening.Listener(*listening.parse(listen))
    server = engine_http.Server(settings, control, listener, order_s=order_s)
    eventlet.spawn(server.run_steps)
    web.serve(server, listener)


def run() -> None:
    """Entry point of the program."""
    _app()


if __name__ == "__main__":
    run()
