"""Reading the plan for commands: the configuration, the verdicts, and what is certain without."""

from __future__ import annotations

import uuid

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import NoReturn
from typing import TypeVar

from returns.result import Failure

from cactussaddle_cli.exceptions import CommandError
from cactussaddle_cli.exitcodes import ExitCode
from cactussaddle_common.configstore import LostRace
from cactussaddle_common.configstore import read_config
from cactussaddle_common.configstore import read_verdicts
from cactussaddle_common.storeapi import StoreErrorKind
from cactussaddle_core.config.change import diff_docs

if TYPE_CHECKING:
    from returns.result import Result

    from cactussaddle_common.configstore import StoredConfig
    from cactussaddle_common.storeapi import Store
    from cactussaddle_common.storeapi import StoreError
    from cactussaddle_core.config.model import ConfigDoc
    from cactussaddle_core.config.verdict import Verdict

T = TypeVar("T")
CHANGE_ID_CHARS = 12


class PlanData(NamedTuple):
    """The accepted configuration and the final verdicts by move id."""

    stored: StoredConfig
    verdicts: dict[str, Verdict]


def new_change_id() -> str:
    """Return an id that no other change has."""
    return uuid.uuid4().hex[:CHANGE_ID_CHARS]


def read_or_fail(found: Result[T, StoreError]) -> T:
    """Return what was read; end the command when the store did not answer."""
    if isinstance(found, Failure):
        fail_read(found.failure())
    return found.unwrap()


def fail_read(error: StoreError) -> NoReturn:
    """End the command after a read that failed."""
    if error.kind is StoreErrorKind.REJECTED:
        raise CommandError(code=ExitCode.REFUSED, lines=(f"the store: {error.detail}",))
    raise CommandError(
        code=ExitCode.STORE_UNAVAILABLE,
        lines=(
            f"the store can't be reached: {error.detail}",
            "nothing was written; the nodes go on with the plan that they have",
        ),
    )


def fail_write(error: StoreError, change_id: str, so_far: tuple[str, ...] = ()) -> NoReturn:
    """End the command after a write that failed; `so_far` says what was written before."""
    if error.kind is StoreErrorKind.UNKNOWN:
        raise CommandError(
            code=ExitCode.OUTCOME_UNKNOWN,
            lines=(
                *so_far,
                f"the store did not answer: {error.detail}",
                f"change {change_id} may have taken effect; when the store is back, look for it"
                " with 'cactussaddle history', or give the same sheet again",
            ),
        )
    if so_far:
        lines = (*so_far, f"the store can't be reached: {error.detail}")
        raise CommandError(code=ExitCode.STORE_UNAVAILABLE, lines=lines)
    fail_read(error)


def fail_lost(outcome: LostRace, base: ConfigDoc) -> NoReturn:
    """End the command after another change came first, and say what it changed."""
    current = outcome.current
    if current is None:
        lines: tuple[str, ...] = ("the configuration was deleted meanwhile",)
    else:
        lines = (
            f"change {current['change_id']} came first and made revision {current['revision']}:",
            *(f"  {difference}" for difference in diff_docs(base, current)),
        )
    raise CommandError(
        code=ExitCode.LOST_RACE, lines=(*lines, "nothing of this change was written")
    )


async def read_stored(store: Store) -> StoredConfig:
    """Return the accepted configuration; end the command when there is none."""
    stored = read_or_fail(await read_config(store))
    if stored is None:
        line = "there is no configuration yet; begin with 'cactussaddle init'"
        raise CommandError(code=ExitCode.NOT_CONFIGURED, lines=(line,))
    return stored


async def read_plan(store: Store) -> PlanData:
    """Return the accepted configuration and the verdicts."""
    stored = await read_stored(store)
    return PlanData(stored, read_or_fail(await read_verdicts(store)))
