"""Parsing and checking of callers' requests."""

import hashlib
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from acaciawing.configuration import (
    ConfigurationIndex,
    Customer,
    Plan,
    Service,
)
from acaciawing.entry.framing import MAX_BODY_BYTES
from acaciawing.outcomes import NotRun

_IDEMPOTENT_METHODS = frozenset(
    {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}
)
_MAX_KEY_CHARACTERS = 255


@dataclass(frozen=True)
class CallerRequest:
    """A checked request.

    Attributes:
        request_id: Id in logs, from X-Request-Id or generated here.
        customer: The customer.
        plan: The customer's plan.
        service: The service of the path.
        operation: Path after the service, without a leading slash.
        method: HTTP method.
        target: Path and query to send to the endpoint.
        headers: Header fields of the caller.
        body: Complete body.
        key: Idempotency key, or None.
        idempotent: Whether the request may be repeated safely.
        timeout_s: Time left for the request, in seconds.
        forwarded: Whether a peer forwarded the request.
    """

    request_id: str
    customer: Customer
    plan: Plan
    service: Service
    operation: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str | None
    idempotent: bool
    timeout_s: float
    forwarded: bool = False


def is_idempotent(method: str, operation: str, service: Service) -> bool:
    """Whether a request may be repeated safely (RFC 9110 section 9.2.2).

    >>> is_idempotent("GET", "rounds", Service("visits", "visits"))
    True
    >>> is_idempotent("POST", "rounds", Service("visits", "visits"))
    False
    """
    if method in _IDEMPOTENT_METHODS:
        return True
    return operation in service.idempotent_operations


def digest_credential(authorization: str) -> str | None:
    """Returns the SHA-256 digest of a bearer credential, or None without one.

    >>> digest_credential("Basic x") is None
    True
    """
    scheme, _, credential = authorization.partition(" ")
    if scheme.lower() != "bearer" or not credential.strip():
        return None
    return hashlib.sha256(credential.strip().encode()).hexdigest()


def read_request(
    environ: dict[str, Any], index: ConfigurationIndex, request_id: str
) -> CallerRequest | NotRun:
    """Checks a request and finds its customer, plan and service.

    Args:
        environ: WSGI environment.
        index: Configuration in force.
        request_id: Id to use if the caller sent none.

    Returns:
        The request, or a refusal if it must not be sent to an endpoint.
    """
    request_id = environ.get("HTTP_X_REQUEST_ID", "")[:64] or request_id
    digest = digest_credential(environ.get("HTTP_AUTHORIZATION", ""))
    customer = index.customers.get(digest or "")
    if customer is None:
        return NotRun("credential", "credential missing or unknown", 401)
    plan = index.plans[customer.plan]
    path = environ["PATH_INFO"]
    name, _, operation = path.lstrip("/").partition("/")
    service = index.services.get(name)
    if service is None:
        return NotRun("no-such-service", f"no service {name!r}", 404)
    if name not in plan.services:
        detail = f"plan {plan.name!r} may not use service {name!r}"
        return NotRun("service-not-in-plan", detail, 403)
    return _build_request(
        environ, request_id, customer, plan, service, operation
    )


def _build_request(
    environ: dict[str, Any],
    request_id: str,
    customer: Customer,
    plan: Plan,
    service: Service,
    operation: str,
) -> CallerRequest | NotRun:
    method = environ["REQUEST_METHOD"]
    idempotent = is_idempotent(method, operation, service)
    key = environ.get("HTTP_IDEMPOTENCY_KEY") or None
    if not idempotent and key is None:
        detail = "a request that is not idempotent needs an Idempotency-Key"
        return NotRun("idempotency-key-required", detail, 428)
    if key is not None and len(key) > _MAX_KEY_CHARACTERS:
        return NotRun("idempotency-key-too-long", "", 400)
    timeout_s = _timeout(environ.get("HTTP_X_REQUEST_TIMEOUT"), plan)
    if timeout_s is None:
        return NotRun("bad-timeout", "X-Request-Timeout is no number", 400)
    body = _read_body(environ)
    if body is None:
        return NotRun("body-too-large", f"limit {MAX_BODY_BYTES} bytes", 413)
    return CallerRequest(
        request_id,
        customer,
        plan,
        service,
        operation,
        method,
        _origin_form(environ["REQUEST_URI"]),
        _header_fields(environ),
        body,
        None if idempotent else key,
        idempotent,
        timeout_s,
    )


def _origin_form(uri: str) -> str:
    """Returns path and query of a request target, still percent-encoded.

    The decoded PATH_INFO is not forwarded: it could contain a line break.

    >>> _origin_form("http://192.0.2.1:80/visits/a%20b?x=1")
    '/visits/a%20b?x=1'
    """
    if uri.startswith("/"):
        return uri
    parts = urlsplit(uri)
    return parts.path + (f"?{parts.query}" if parts.query else "")


def _timeout(value: str | None, plan: Plan) -> float | None:
    if value is None:
        return plan.deadline_s
    try:
        requested = float(value)
    except ValueError:
        return None
    if not 0 < requested < float("inf"):
        return None
    return min(requested, plan.deadline_s)


def _read_body(environ: dict[str, Any]) -> bytes | None:
    if environ.get("HTTP_TRANSFER_ENCODING"):
        body: bytes = environ["wsgi.input"].read()
    else:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
    return body if len(body) <= MAX_BODY_BYTES else None


def _header_fields(environ: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    fields = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        fields.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(fields)
