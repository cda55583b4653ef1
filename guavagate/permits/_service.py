"""Handles the messages of entries to the owned pools."""

from guavagate.links import Message, expect
from guavagate.models import InstanceId
from guavagate.permits._messages import (
    AskPermit,
    HeldPermits,
    ReleasePermit,
    ReportSlow,
    WithdrawWork,
)
from guavagate.permits._queue_owner import QueueOwner
from guavagate.runtime import Runtime


def serve_queue_owner(runtime: Runtime, queue_owner: QueueOwner) -> None:
    """Register the handlers of messages to a queue owner."""

    def request(sender: InstanceId, message: Message) -> Message:
        return queue_owner.request(sender, expect(message, AskPermit))

    def release(sender: InstanceId, message: Message) -> None:
        queue_owner.release(sender, expect(message, ReleasePermit))

    def withdraw(sender: InstanceId, message: Message) -> None:
        withdrawal = expect(message, WithdrawWork)
        queue_owner.withdraw(sender, withdrawal.pool, withdrawal.work_id)

    def adopt_permits(sender: InstanceId, message: Message) -> None:
        queue_owner.adopt_permits(sender, expect(message, HeldPermits))

    def record_slow_stream(sender: InstanceId, message: Message) -> None:
        queue_owner.record_slow_stream(expect(message, ReportSlow))

    runtime.bus.register(AskPermit, request)
    runtime.bus.register(ReportSlow, record_slow_stream)
    runtime.bus.register(ReleasePermit, release)
    runtime.bus.register(WithdrawWork, withdraw)
    runtime.bus.register(HeldPermits, adopt_permits)
