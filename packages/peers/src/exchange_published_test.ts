import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { gzipSync } from "node:zlib";
import {
  createPublishedItems,
  type PublishedItem,
} from "./create_published_items.ts";
import {
  createConfigurationHandler,
  createPublishedHandler,
  pullConfiguration,
  pullPublished,
} from "./exchange_published.ts";

/** Routes of the large configuration. */
const ROUTES = 700;

/** An item whose value is a configuration with many routes, as JSON. */
function createLargeItem(): PublishedItem {
  const routes = Array.from({ length: ROUTES }, (_, index) => ({
    name: `route-${(index * 7919 % 1_000_003).toString(36)}`,
    host: `${(index * 104_729 % 1_000_003).toString(36)}.example`,
    prefix: `/${(index * 15_485_863 % 1_000_003).toString(36)}/`,
    kind: "idempotent",
    service: "plain",
    timeoutMs: 5000,
    targetMs: 500,
    maxAttempts: 2,
  }));
  const value = Buffer.from(JSON.stringify({ version: 9, routes }));
  return { key: "configuration", revision: 7, value };
}

/** Serves `handler` on a free port while `body` runs. */
async function withServer(
  handler: RequestListener,
  body: (port: number, sockets: Socket[]) => Promise<void>,
): Promise<void> {
  const sockets: Socket[] = [];
  const server = createServer(handler);
  server.on("connection", (socket) => sockets.push(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  try {
    await body((server.address() as AddressInfo).port, sockets);
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

// Guards against a large configuration that fills the links of the VMs from
// which all others pull it, so that responses to callers wait behind it.
test("a large configuration takes a small part of its size to pull", async () => {
  const published = createPublishedItems();
  const item = createLargeItem();
  published.apply({ head: 7, isWhole: false, items: [item] });
  await withServer(createPublishedHandler(published), async (port, sockets) => {
    const changes = await pullPublished({ host: "127.0.0.1", port }, 3);
    assert.equal(changes.head, 7);
    assert.deepEqual(
      Buffer.from(changes.items[0]!.value!),
      Buffer.from(item.value!),
    );
    const sentBytes = sockets[0]!.bytesWritten;
    assert.ok(sentBytes < item.value!.length / 4, `${sentBytes} bytes`);
  });
});

test("a VM that accepts no compression gets the changes without it", async () => {
  const published = createPublishedItems();
  published.apply({ head: 7, isWhole: false, items: [createLargeItem()] });
  await withServer(createPublishedHandler(published), async (port) => {
    const response = await fetch(`http://127.0.0.1:${port}/published?after=3`, {
      headers: { "Accept-Encoding": "identity" },
    });
    assert.equal(response.headers.get("content-encoding"), null);
    assert.ok((await response.arrayBuffer()).byteLength > 50_000);
  });
});

test("a pull after further changes gets these too", async () => {
  const published = createPublishedItems();
  published.apply({ head: 7, isWhole: false, items: [createLargeItem()] });
  await withServer(createPublishedHandler(published), async (port) => {
    const peer = { host: "127.0.0.1", port };
    await pullPublished(peer, 3);
    published.apply({
      head: 8,
      isWhole: false,
      items: [{ key: "other", revision: 8, value: Buffer.from("{}") }],
    });
    const changes = await pullPublished(peer, 3);
    assert.equal(changes.head, 8);
    assert.equal(changes.items.length, 2);
  });
});

// Guards against a VM of an older era that gets only the changes after its own
// revision, which is of another history.
test("a pull of an older era gets the complete state", async () => {
  const published = createPublishedItems();
  const item = createLargeItem();
  published.apply({ era: 2, head: 7, isWhole: true, items: [item] });
  await withServer(createPublishedHandler(published), async (port) => {
    const peer = { host: "127.0.0.1", port };
    const { isWhole: isWholeOfSame, items } = await pullPublished(peer, 7, 2);
    assert.deepEqual([isWholeOfSame, items.length], [false, 0]);
    for (const era of [1, 0]) {
      const changes = await pullPublished(peer, 7, era);
      assert.deepEqual([changes.era, changes.isWhole], [2, true]);
      assert.equal(changes.items.length, 1);
    }
  });
});

test("a VM pulls the item of a peer's configuration", async () => {
  let item: PublishedItem | undefined;
  const handler = createConfigurationHandler(() => item);
  await withServer(handler, async (port) => {
    const peer = { host: "127.0.0.1", port };
    await assert.rejects(pullConfiguration(peer), /404/);
    item = createLargeItem();
    const { key, value } = await pullConfiguration(peer);
    assert.equal(key, item.key);
    assert.deepEqual(Buffer.from(value!), Buffer.from(item.value!));
  });
});

// Guards against a VM that reads a faulty peer's bytes until its memory is used
// up. The limit has to hold without the timeout of a pull.
test("a pull whose response has no end is cut off", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const chunk = Buffer.alloc(65_536);
  await withServer((_incoming, response) => {
    const send = () => {
      for (let writes = 0; writes < 2000; writes++) {
        if (!response.write(chunk)) return;
      }
    };
    response.on("drain", send);
    send();
  }, async (port, sockets) => {
    const pull = pullPublished({ host: "127.0.0.1", port }, 3);
    await assert.rejects(pull, /exceeds/);
    const sentBytes = sockets[0]!.bytesWritten;
    assert.ok(sentBytes < 48 * 1024 * 1024, `${sentBytes} bytes`);
  });
});

test("a pull whose response expands without bound is cut off", async () => {
  const bytes = gzipSync(Buffer.alloc(64 * 1024 * 1024));
  await withServer((_incoming, response) => {
    response.writeHead(200, { "Content-Encoding": "gzip" });
    response.end(bytes);
  }, async (port) => {
    const pull = pullPublished({ host: "127.0.0.1", port }, 3);
    await assert.rejects(pull, /larger than/);
  });
});
