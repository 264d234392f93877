import type { PublishedDocument, PublishedVm } from "@rosemarytiller/link";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Ways in which the stand-in platform can fail. */
export interface PlatformFaults {
  /** Every call is answered 503. */
  down: boolean;
  /** Answers show the state of the moment this was set. */
  stale: boolean;
  /** Delay of each answer in milliseconds. */
  delayMs: number;
}

/** A small configuration service with a VM list. */
export interface StandInPlatform {
  readonly url: string;
  /** Publishes a document under the next revision, or a given one. */
  publish(key: string, text: string, revision?: number): number;
  /** Publishes the VM list under the next revision. */
  setVms(vms: PublishedVm[]): number;
  setFaults(faults: Partial<PlatformFaults>): void;
  /** Calls answered so far, each waiting watch counted once. */
  reads(): number;
  close(): Promise<void>;
}

interface State {
  documents: Map<string, PublishedDocument>;
  documentRevision: number;
  vms: PublishedVm[];
  listRevision: number;
}

/** Starts a stand-in platform. */
export async function createStandInPlatform(): Promise<StandInPlatform> {
  const state: State = {
    documents: new Map(),
    documentRevision: 0,
    vms: [],
    listRevision: 0,
  };
  let shown = state;
  const faults: PlatformFaults = { down: false, stale: false, delayMs: 0 };
  const wakers = new Set<() => void>();
  let reads = 0;

  function wakeAll(): void {
    for (const wake of [...wakers]) wake();
  }

  function waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(wake, waitMs);
      function wake(): void {
        clearTimeout(timer);
        wakers.delete(wake);
        resolve();
      }
      wakers.add(wake);
    });
  }

  const routes: Record<string, (after: number) => object | undefined> = {
    "/v1/documents": (after) => {
      if (shown.documentRevision <= after) return undefined;
      const documents = [...shown.documents.values()]
        .filter((document) => document.revision > after);
      return { revision: shown.documentRevision, documents };
    },
    "/v1/vms": (after) => {
      if (shown.listRevision <= after) return undefined;
      return { revision: shown.listRevision, vms: shown.vms };
    },
  };
  const unchanged: Record<string, () => object> = {
    "/v1/documents": () => ({
      revision: shown.documentRevision,
      documents: [],
    }),
    "/v1/vms": () => ({ revision: shown.listRevision, vms: shown.vms }),
  };

  async function answer(url: URL, response: ServerResponse): Promise<void> {
    reads++;
    const route = routes[url.pathname];
    if (!route) return void response.writeHead(404).end();
    const after = Number(url.searchParams.get("after") ?? 0);
    const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
    const untilMs = Date.now() + waitMs;
    if (faults.delayMs > 0) await waitForTime(faults.delayMs);
    let found = faults.down ? undefined : route(after);
    while (!found && !faults.down && Date.now() < untilMs) {
      await waitForChange(untilMs - Date.now());
      found = route(after);
    }
    if (faults.down) return void response.writeHead(503).end();
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(found ?? unchanged[url.pathname]()));
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://platform");
    void answer(url, response);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;

  return {
    url: `http://127.0.0.1:${port}`,
    publish(key, text, revision = state.documentRevision + 1) {
      state.documents.set(key, { key, revision, text });
      state.documentRevision = Math.max(state.documentRevision, revision);
      wakeAll();
      return revision;
    },
    setVms(vms) {
      state.vms = vms;
      state.listRevision++;
      wakeAll();
      return state.listRevision;
    },
    setFaults(next) {
      Object.assign(faults, next);
      const { documents } = state;
      shown = faults.stale
        ? { ...state, documents: new Map(documents) }
        : state;
      wakeAll();
    },
    reads: () => reads,
    async close() {
      faults.down = true;
      wakeAll();
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}

function waitForTime(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
