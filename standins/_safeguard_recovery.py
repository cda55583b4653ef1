"""Safeguards of texts and calls if an owner or its store route fails."""

from typing import Final

from standins._safeguard_rows import Safeguard

RECOVERY_SAFEGUARDS: Final = (
    Safeguard(
        'replicas keep up with the texts of a burst',
        'guavagate/jobs/texts/_replicas.py',
        'LINK_SHARE: Final = 0.05',
        'LINK_SHARE: Final = 0.0027',
        'tests/jobs/texts/test_texts.py',
    ),
    Safeguard(
        'long texts resume from the store',
        'guavagate/jobs/texts/_text_backups.py',
        '        self._checkpoints.restore(work)\n',
        '',
        'tests/jobs/texts/test_checkpoints.py',
    ),
    Safeguard(
        'a checkpoint fits into one object',
        'guavagate/jobs/texts/_checkpoints.py',
        '        if left < 0:\n            break\n',
        '',
        'tests/jobs/texts/test_checkpoints.py',
    ),
    Safeguard(
        'calls are spread over working peers',
        'guavagate/integrations/object_api/_peer_selector.py',
        '            self._working[peer] += 1',
        '            self._working[peer] += 0',
        'tests/integrations/test_peers.py',
    ),
    Safeguard(
        'a log loads only new chunks',
        'guavagate/jobs/_result_log.py',
        "after = get_chunk_name(known - 1) if known else ''",
        "after = ''",
        'tests/jobs/test_result_log.py',
    ),
    Safeguard(
        'workers have room for the results of all trainers',
        'guavagate/integrations/object_api/_rate_shares.py',
        '    if not entries or not workers:',
        '    if True:',
        'tests/integrations/test_rate_shares.py',
    ),
)
