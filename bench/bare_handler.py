"""Minimal forwarding handler that uses only cheroot and urllib3.

Run as ``python -m bench.bare_handler LISTEN ENDPOINT...``.
"""

import itertools
import sys
from collections.abc import Callable, Iterable
from typing import Any

import urllib3
from cheroot import wsgi

_THREADS = 64


def make_application(endpoints: list[str]) -> Any:
    """Builds a WSGI application that calls the endpoints in rotation."""
    endpoint_cycle = itertools.cycle(endpoints)
    pool = urllib3.PoolManager(num_pools=16, maxsize=_THREADS, retries=False)

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        response = pool.request(
            environ["REQUEST_METHOD"],
            f"http://{next(endpoint_cycle)}{environ['PATH_INFO']}",
        )
        start_response(
            "200 OK",
            [
                ("Content-Type", response.headers["Content-Type"]),
                ("Content-Length", str(len(response.data))),
            ],
        )
        return [response.data]

    return application


def main() -> None:
    """Serves requests until the process is terminated."""
    host, _, port = sys.argv[1].rpartition(":")
    server = wsgi.Server(
        (host, int(port)), make_application(sys.argv[2:]), numthreads=_THREADS
    )
    server.start()


if __name__ == "__main__":
    main()
