"""The command ``acaciawing``."""

import importlib
import sys
import uuid
from pathlib import Path
from time import monotonic, sleep
from typing import Literal

import defopt

import acaciawing
from acaciawing.commandline.administration import AdministrationClient
from acaciawing.commandline.documents import StatusDocument
from acaciawing.commandline.publish_decisions import (
    Outcome,
    Publication,
    PublishUnfinished,
)
from acaciawing.commandline.publish_loop import run_publish
from acaciawing.commandline.report import (
    EXIT_REFUSED,
    EXIT_SUCCESS,
    EXIT_USAGE,
    as_json,
    report,
)
from acaciawing.commandline.story import read_logs, render, select_lines
from acaciawing.commandline.waves import WaveCommand, WaveUnfinished, run_wave
from acaciawing.configuration import (
    Findings,
    InvalidSettingsError,
    check_files,
    check_settings,
    is_url,
    read_settings,
    read_source,
)
from acaciawing.platform import LogClient

_STATUS_INTERVAL_S = 2.0


class UsageError(Exception):
    """Invalid argument; the command ends with exit code 2."""


def check(customers: Path, plans: Path, *, settings: Path | None = None) -> int:
    """Check the operators' lists and process settings.

    Args:
        customers: List of customers (TOML).
        plans: List of plans and services (TOML).
        settings: Process settings to check as well (TOML).
    """
    findings = check_files(customers, plans).findings
    if settings is not None:
        findings += check_settings(read_source(settings)).findings
    _print_findings(findings)
    if findings:
        return EXIT_REFUSED
    print("no findings", file=sys.stderr)
    return EXIT_SUCCESS


def publish(
    customers: Path,
    plans: Path,
    *,
    log: str,
    author: str,
    base: int | None = None,
    publication_id: str | None = None,
) -> int:
    """Check the lists and publish them as the configuration in force.

    Args:
        customers: List of customers (TOML).
        plans: List of plans and services (TOML).
        log: Address of the platform's log, http://ip:port.
        author: Name of the operator, for the audit.
        base: Version that the lists were edited from; default is the version
            in force.
        publication_id: Id of an earlier attempt whose outcome is unknown;
            default is a new id.
    """
    _require_url("--log", log)
    _require_label("--author", author)
    if publication_id is None:
        publication_id = uuid.uuid4().hex
    _require_label("--publication-id", publication_id)
    checked = check_files(customers, plans)
    if checked.configuration is None:
        _print_findings(checked.findings)
        return EXIT_REFUSED
    # Printed first, so that the operator can retry with it if the command is
    # interrupted.
    print(f"publication id {publication_id}", file=sys.stderr)
    publication = Publication(
        publication_id, author, checked.configuration, base
    )
    outcome: Outcome
    try:
        outcome = run_publish(publication, LogClient(log), monotonic, sleep)
    except KeyboardInterrupt:
        outcome = PublishUnfinished("interrupted", unconfirmed=True)
    return _print_report(*report(outcome))


def wave(
    pool: str,
    action: Literal["start", "stop", "resume"],
    *,
    log: str,
    author: str,
    at_once: int = 0,
    reason: str = "",
) -> int:
    """Start, stop or resume maintenance of a pool.

    Args:
        pool: Name of the pool.
        action: Whether to start a wave, or to stop or resume maintenance.
        log: Address of the platform's log, http://ip:port.
        author: Name of the operator, for the audit.
        at_once: Instances of the pool that a started wave may take out of
            service at a time; default is the pool's usual limit.
        reason: Reason for a stop, shown to other operators.
    """
    _require_url("--log", log)
    _require_label("--author", author)
    _require_label("POOL", pool)
    if at_once < 0:
        raise UsageError("--at-once: 0 or more is needed")
    command = WaveCommand(
        uuid.uuid4().hex, pool, action, author, at_once, reason
    )
    try:
        outcome = run_wave(command, LogClient(log), monotonic, sleep)
    except KeyboardInterrupt:
        outcome = WaveUnfinished("interrupted", unconfirmed=True)
    return _print_report(*report(outcome))


def status(
    *,
    entry: str,
    credential_file: Path,
    json: bool = False,
    watch: bool = False,
) -> int:
    """Show promised and achieved rates, moves, waves, loans and members.

    Args:
        entry: Administration listener of an entry instance, http://ip:port.
        credential_file: File with the operator's credential.
        json: Print JSON instead of tables.
        watch: Repeat every 2 s until interrupted or refused.
    """
    client = _client(entry, credential_file)
    code = _show_status(client, json)
    try:
        while watch and code != EXIT_REFUSED:
            sleep(_STATUS_INTERVAL_S)
            code = _show_status(client, json)
    except KeyboardInterrupt:
        return code
    return code


def explain(
    kind: Literal["request", "task", "instance"],
    id: str,
    *,
    entry: str,
    credential_file: Path,
    json: bool = False,
) -> int:
    """Show the decisions about a request, a task or an instance.

    Args:
        kind: Kind of the subject.
        id: Id of the request, task or instance.
        entry: Administration listener of an entry instance, http://ip:port.
        credential_file: File with the operator's credential.
        json: Print JSON instead of lines.
    """
    document = _client(entry, credential_file).explain(kind, id)
    code, text = report(document)
    if json and code == EXIT_SUCCESS:
        text = as_json(document)  # type: ignore[arg-type]
    return _print_report(code, text)


def story(id: str, *logs: Path) -> int:
    """Show the log lines about one id, in order of time.

    Args:
        id: Id of a job, subtask, worker or machine.
        logs: Log files of any number of instances.
    """
    texts: list[str] = []
    for path in logs:
        try:
            texts += path.read_text("utf-8", "replace").splitlines()
        except OSError as error:
            raise UsageError(f"{path}: {type(error).__name__}") from error
    parsed = read_logs(texts)
    if parsed.unreadable:
        print(f"{parsed.unreadable} lines could not be read", file=sys.stderr)
    lines = select_lines(parsed, id)
    for line in render(lines):
        print(line)
    if not lines:
        print(f"no line about {id}", file=sys.stderr)
    return EXIT_SUCCESS if lines else EXIT_REFUSED


def entry(settings: Path) -> int:
    """Run an entry instance until a signal stops it.

    Args:
        settings: Process settings (TOML).
    """
    try:
        entry_settings = read_settings(settings)
    except InvalidSettingsError as error:
        _print_findings(error.findings)
        return EXIT_REFUSED
    # Imported here, so that the other commands do not load the daemon.
    importlib.import_module("acaciawing.entry").run(entry_settings)
    return EXIT_SUCCESS


def version() -> int:
    """Show the version of this release."""
    print(f"acaciawing {acaciawing.__version__}")
    return EXIT_SUCCESS


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line; returns the exit code.

    Args:
        arguments: Arguments without the program name; default `sys.argv`.
    """
    commands = [
        entry,
        check,
        publish,
        wave,
        status,
        explain,
        story,
        version,
    ]
    try:
        code: int = defopt.run(
            commands,
            argv=arguments,
            short={},
            argparse_kwargs={"prog": "acaciawing"},
        )
    except UsageError as error:
        print(f"acaciawing: {error}", file=sys.stderr)
        return EXIT_USAGE
    return code


def _show_status(client: AdministrationClient, json: bool) -> int:
    document = client.status()
    code, text = report(document)
    if json and isinstance(document, StatusDocument):
        text = as_json(document)
    return _print_report(code, text)


def _client(entry: str, credential_file: Path) -> AdministrationClient:
    _require_url("--entry", entry)
    try:
        credential = credential_file.read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        kind = type(error).__name__
        raise UsageError(f"--credential-file: {kind}") from error
    if not credential.isascii() or not credential.isprintable():
        raise UsageError("--credential-file: not one line of ASCII text")
    if not credential:
        raise UsageError("--credential-file: the file is empty")
    return AdministrationClient(entry, credential)


def _require_url(option: str, value: str) -> None:
    if not is_url(value):
        raise UsageError(f"{option}: http://ip:port is needed")


def _require_label(option: str, value: str) -> None:
    if not 0 < len(value.strip()) <= 128 or not value.isprintable():
        raise UsageError(f"{option}: 1 to 128 printable characters are needed")


def _print_findings(findings: Findings) -> None:
    for finding in findings:
        print(finding)


def _print_report(code: int, text: str) -> int:
    print(
        text,
        file=sys.stdout if code == EXIT_SUCCESS else sys.stderr,
        flush=True,
    )
    return code


if __name__ == "__main__":
    sys.exit(main())
