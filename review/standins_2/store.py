"""A stand-in for the platform's store: linearizable, and without troubles."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import web

_JSON = ('Content-Type', 'application/json')
_PAGE = 500


class Store:
    """Stores objects by kind and name, with one revision and watches."""

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[str, int, dict[str, Any], bool]] = []
        self.revision = 1
        self._changed = asyncio.Event()

    async def start(self, address: str) -> asyncio.Server:
        """Listen."""
        return await web.serve(address, self._handle)

    def write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object, for the operator or a sampler."""
        before = self.kinds.get(kind, {}).get(name, {})
        return self._store(kind, name, {**before, 'spec': spec})

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object."""
        self.revision += 1
        stored = self.kinds.get(kind, {}).pop(name, None)
        if stored is None:
            return {}
        self._record(kind, stored, deleted=True)
        return stored

    def _store(self, kind: str, name: str, parts: Any) -> dict[str, Any]:
        self.revision += 1
        stored = {'spec': None, 'status': None, **parts}
        stored['metadata'] = {
            'name': name,
            'revision': self.revision,
            'finalizers': [],
            'deletion-pending': False,
        }
        self.kinds.setdefault(kind, {})[name] = stored
        self._record(kind, stored, deleted=False)
        return stored

    def _record(
        self, kind: str, stored: dict[str, Any], *, deleted: bool
    ) -> None:
        self.history.append((kind, self.revision, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: web.Message, channel: web.Channel) -> None:
        status, content = await self._run(request)
        await channel.answer(status, [_JSON], json.dumps(content).encode())

    async def _run(self, request: web.Message) -> tuple[int, Any]:
        method, target = request.first[:2]
        url = urlsplit(target)
        path = [unquote(each) for each in url.path.split('/')[2:]]
        query = {key: each[0] for key, each in parse_qs(url.query).items()}
        if method == 'GET' and 'watch' in query:
            return 200, await self._watch(path[0], query)
        if method == 'GET' and len(path) == 1:
            return 200, self._list(path[0], query.get('after', ''))
        known = self.kinds.get(path[0], {})
        if method == 'GET':
            found = known.get(path[1])
            return (404, {}) if found is None else (200, found)
        if method == 'DELETE':
            return self._delete(path, query)
        return self._put(method, path, json.loads(request.body))

    def _delete(self, path: list[str], query: Any) -> tuple[int, Any]:
        found = self.kinds.get(path[0], {}).get(path[1])
        if found is None:
            return 404, {}
        wanted = query.get('revision')
        if wanted and int(wanted) != found['metadata']['revision']:
            return 409, found
        return 200, self.remove(path[0], path[1])

    def _put(self, method: str, path: list[str], sent: Any) -> tuple[int, Any]:
        kind = path[0]
        name = sent['metadata']['name']
        found = self.kinds.get(kind, {}).get(name)
        if method == 'POST' and found is not None:
            return 409, found
        if method == 'PUT' and found is None:
            return 404, {}
        wanted = sent['metadata'].get('revision')
        if found and wanted and wanted != found['metadata']['revision']:
            return 409, found
        part = 'status' if path[2:] else 'spec'
        return 200, self._store(
            kind, name, {**(found or {}), part: sent.get(part)}
        )

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        known = self.kinds.get(kind, {})
        names = [name for name in sorted(known) if name > after]
        return {
            'items': [known[name] for name in names[:_PAGE]],
            'has-more': len(names) > _PAGE,
            'store-revision': self.revision,
        }

    async def _watch(self, kind: str, query: Any) -> dict[str, Any]:
        since = int(query['watch'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get('wait-ms', '0')) / 1000
        while True:
            found = [
                {'object': stored, 'deleted': deleted}
                for of, revision, stored, deleted in self.history
                if of == kind and revision > since
            ]
            left = until - loop.time()
            if found or left <= 0:
                return {'events': found, 'store-revision': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
