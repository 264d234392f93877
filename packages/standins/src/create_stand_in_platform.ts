import type { PublishedDocument, PublishedVm } from "@rosemarytiller/link";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Ways in which a replica of the stand-in platform can fail. */
export interface PlatformFaults {
  /** Every call is answered 503. */
  down: boolean;
  /** Keeps what it has and takes no change until this ends. */
  stale: boolean;
  /** Delay of each answer in milliseconds. */
  delayMs: number;
}

/** What a backup of the platform holds. */
export interface PlatformState {
  documents: Map<string, PublishedDocument>;
  documentRevision: number;
  vms: PublishedVm[];
  listRevision: number;
}

/** A small configuration service with a VM list and several replicas. */
export interface StandInPlatform {
  /** Base URL of the first replica. */
  readonly url: string;
  /** Base URLs of all replicas. */
  readonly urls: readonly string[];
  /** Publishes a document under the next revision, or a given one. */
  publish(key: string, text: string, revision?: number): number;
  /** Shows a document at one replica only, as after a race or a restore. */
  publishAt(replica: number, published: PublishedDocument): void;
  /** Publishes the VM list under the next revision. */
  setVms(vms: PublishedVm[]): number;
  /** Sets faults of one replica, or of all. */
  setFaults(faults: Partial<PlatformFaults>, replica?: number): void;
  /** A backup of the present state. */
  backup(): PlatformState;
  /** Brings all replicas back to a backup, with its lower revisions. */
  restore(state: PlatformState): void;
  /** Calls taken so far at all replicas, each waiting watch counted once. */
  reads(): number;
  close(): Promise<void>;
}

/** Starts a stand-in platform. */
export async function createStandInPlatform(
  options: { replicas?: number; ports?: readonly number[] } = {},
): Promise<StandInPlatform> {
  const state: PlatformState = {
    documents: new Map(),
    documentRevision: 0,
    vms: [],
    listRevision: 0,
  };
  const replicas: Replica[] = [];
  for (let index = 0; index < (options.replicas ?? 1); index++) {
    const port = options.ports?.[index] ?? 0;
    replicas.push(await startReplica(copyState(state), port));
  }

  function spread(): void {
    for (const replica of replicas) {
      if (!replica.faults.stale) replica.show(copyState(state));
    }
  }

  return {
    url: replicas[0].url,
    urls: replicas.map((replica) => replica.url),
    publish(key, text, revision = state.documentRevision + 1) {
      putDocument(state, { key, revision, text });
      spread();
      return revision;
    },
    publishAt(index, published) {
      const shown = copyState(replicas[index].state());
      putDocument(shown, published);
      replicas[index].show(shown);
    },
    setVms(vms) {
      state.vms = vms;
      state.listRevision++;
      spread();
      return state.listRevision;
    },
    setFaults(next, index) {
      for (const [place, replica] of replicas.entries()) {
        if (index !== undefined && place !== index) continue;
        const wasStale = replica.faults.stale;
        Object.assign(replica.faults, next);
        const caughtUp = wasStale && !replica.faults.stale;
        replica.show(caughtUp ? copyState(state) : replica.state());
      }
    },
    backup: () => copyState(state),
    restore(backup) {
      Object.assign(state, copyState(backup));
      for (const replica of replicas) replica.show(copyState(state));
    },
    reads: () => replicas.reduce((sum, replica) => sum + replica.reads(), 0),
    async close() {
      for (const replica of replicas) await replica.close();
    },
  };
}

interface Replica {
  readonly url: string;
  readonly faults: PlatformFaults;
  state(): PlatformState;
  /** Replaces what is shown and wakes the waiting watches. */
  show(state: PlatformState): void;
  reads(): number;
  close(): Promise<void>;
}

async function startReplica(
  initial: PlatformState,
  port: number,
): Promise<Replica> {
  const faults: PlatformFaults = { down: false, stale: false, delayMs: 0 };
  const wakers = new Set<() => void>();
  let shown = initial;
  let reads = 0;

  function show(state: PlatformState): void {
    shown = state;
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

  async function answer(url: URL, response: ServerResponse): Promise<void> {
    reads++;
    const route = ROUTES[url.pathname];
    if (!route) return void response.writeHead(404).end();
    const after = Number(url.searchParams.get("after") ?? 0);
    const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
    const untilMs = performance.now() + waitMs;
    if (faults.delayMs > 0) await waitForTime(faults.delayMs);
    while (!faults.down && !route.isNewer(shown, after)) {
      const leftMs = untilMs - performance.now();
      if (leftMs <= 0) break;
      await waitForChange(leftMs);
    }
    if (faults.down) return void response.writeHead(503).end();
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(route.read(shown, after)));
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://platform");
    void answer(url, response);
  });
  const url = await listen(server, port);
  return {
    url,
    faults,
    state: () => shown,
    show,
    reads: () => reads,
    async close() {
      faults.down = true;
      show(shown);
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}

interface Route {
  isNewer(state: PlatformState, after: number): boolean;
  read(state: PlatformState, after: number): object;
}

const ROUTES: Record<string, Route> = {
  "/v1/documents": {
    isNewer: (state, after) => state.documentRevision > after,
    read: (state, after) => ({
      revision: state.documentRevision,
      documents: [...state.documents.values()]
        .filter((document) => document.revision > after),
    }),
  },
  "/v1/vms": {
    isNewer: (state, after) => state.listRevision > after,
    read: (state, after) => ({
      revision: state.listRevision,
      vms: state.listRevision > after ? state.vms : undefined,
    }),
  },
};

function putDocument(
  state: PlatformState,
  published: PublishedDocument,
): void {
  state.documents.set(published.key, published);
  state.documentRevision = Math.max(state.documentRevision, published.revision);
}

function copyState(state: PlatformState): PlatformState {
  return { ...state, documents: new Map(state.documents) };
}

async function listen(server: Server, wanted: number): Promise<string> {
  server.listen(wanted, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return `http://127.0.0.1:${port}`;
}

function waitForTime(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
