"""The platform's store as its page describes it: revisions, pages, watches,
a history, and an era that rises when the store comes back from a copy."""

import asyncio
import base64
import copy
import json
import urllib.parse

PAGE_ITEMS = 500


class Store:
    def __init__(self, address, port, record):
        self.address, self.port, self.record = address, port, record
        self.items = {}  # key: (value, revision, created)
        self.events = []  # (revision, key, value or None)
        self.revision = 10
        self.first_revision = 10  # watches from before get 410
        self.era = 1
        self.server = None
        self.writers = set()
        self.changed = asyncio.Event()
        self.calls = 0
        self.is_silent = False
        self.silent = set()  # connections that get no answer any more

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address,
                                                 self.port)

    def go_away(self):
        """No process listens; open connections are reset."""
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def fall_silent(self):
        """As without power: what is connected now never gets an answer."""
        self.is_silent = True
        self.silent = set(self.writers)

    def end_silence(self):
        self.is_silent = False

    def put(self, key, value):
        """Returns the revision; an equal value changes nothing."""
        text = json.dumps(value)
        old = self.items.get(key)
        if old and old[0] == text:
            return old[1]
        self.revision += 1
        created = old[2] if old else self.revision
        self.items[key] = (text, self.revision, created)
        self.events.append((self.revision, key, text))
        self.notify()
        return self.revision

    def delete(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.events.append((self.revision, key, None))
        self.notify()

    def snapshot(self):
        return copy.copy(self.items), list(self.events), self.revision

    def restore(self, snapshot):
        """The copy replaces all that was written since."""
        items, events, self.revision = snapshot
        self.items, self.events = dict(items), list(events)
        self.era += 1

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def print_event(self, event):
        revision, key, text = event
        if text is None:
            return {"key": key, "revision": revision, "deleted": True}
        value = base64.b64encode(text.encode()).decode()
        return {"key": key, "value": value, "revision": revision,
                "created": revision, "lease": 0}

    def page(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items
                      if key.startswith(prefix) and key > after)
        items = []
        for key in keys[:PAGE_ITEMS]:
            text, revision, created = self.items[key]
            item = self.print_event((revision, key, text))
            item["created"] = created
            items.append(item)
        return 200, {"items": items, "hasMore": len(keys) > PAGE_ITEMS,
                     "currentRev": self.revision}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        deadline = asyncio.get_running_loop().time() + \
            int(query.get("waitMs", "0")) / 1000
        while True:
            if after > self.revision or after < self.first_revision:
                return 410, {"error": "history"}
            events = [event for event in self.events
                      if event[0] > after and event[1].startswith(prefix)]
            left = deadline - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": [self.print_event(e) for e in events],
                             "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def answer(self, path):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls += 1
        if url.path == "/api/kv-range":
            return self.page(query)
        if url.path == "/api/kv-watch":
            return await self.watch(query)
        if url.path == "/api/kv-key" and query.get("key") in self.items:
            text, revision, _ = self.items[query["key"]]
            item = self.print_event((revision, query["key"], text))
            return 200, dict(item, currentRev=self.revision)
        return 404, {"error": "none"}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        if self.is_silent:
            self.silent.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                status, body = await self.answer(path)
                await asyncio.sleep(0.004)
                if writer in self.silent:
                    continue
                if status == 410:
                    self.record(f"store: 410 to {path}")
                data = json.dumps(body).encode()
                writer.write((f"HTTP/1.1 {status} X\r\n"
                              "Content-Type: application/json\r\n"
                              f"Store-Era: {self.era}\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n"
                              ).encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
