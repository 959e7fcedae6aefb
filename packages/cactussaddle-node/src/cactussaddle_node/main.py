"""Console entry point of the node daemon."""

from __future__ import annotations

import os


def run() -> None:
    """Run the daemon until it is asked to stop.

    If CACTUSSADDLE_CONFIG names the settings file of the users' platform, the node runs on that
    platform. Otherwise it runs standalone, configured by its own flags and environment variables.
    Each mode imports only the libraries that it needs.
    """
    settings_path = os.environ.get("CACTUSSADDLE_CONFIG")
    if settings_path:
        from cactussaddle_node.signals import SignalInbox

        inbox = SignalInbox()
        inbox.install()
        from cactussaddle_node.startup import listen_for_callers

        callers = listen_for_callers(settings_path)
        inbox.record_run()
        from cactussaddle_node.edge.main import run_on_platform

        inbox.record_run()
        run_on_platform(settings_path, callers, inbox)
        return
    from cactussaddle_node.standalone import run_standalone

    run_standalone()


if __name__ == "__main__":
    run()
