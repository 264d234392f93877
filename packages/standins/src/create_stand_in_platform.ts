import type { PublishedDocument, PublishedVm } from "@rosemarytiller/link";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Faults injected into a replica of the stand-in platform. */
export interface PlatformFaults {
  /** Answers every request with status 503. */
  down: boolean;
  /** Serves its last state and applies no update while set. */
  stale: boolean;
  /** Delay of each response in milliseconds. */
  delayMs: number;
}

/** Published documents and VM list, each with its latest revision. */
export interface PlatformState {
  documents: Map<string, PublishedDocument>;
  documentRevision: number;
  vms: PublishedVm[];
  listRevision: number;
}

/**
 * A simulated platform that serves documents and the VM list from one or more
 * replicas.
 */
export interface StandInPlatform {
  /** Base URL of the first replica. */
  readonly url: string;
  /** Base URLs of all replicas. */
  readonly urls: readonly string[];
  /**
   * Publishes a document under the next revision or the one given; returns the
   * revision.
   */
  publish(key: string, text: string, revision?: number): number;
  /**
   * Publishes a document on one replica only, as after concurrent publications
   * or a restore. The next update overwrites it, unless the replica is stale.
   */
  publishAt(replica: number, published: PublishedDocument): void;
  /** Publishes the VM list under the next revision; returns the revision. */
  setVms(vms: PublishedVm[]): number;
  /**
   * Changes the faults of the replica at this index, or of all replicas. A
   * replica whose `stale` is cleared takes the latest state at once. Waiting
   * long polls are checked again.
   */
  setFaults(faults: Partial<PlatformFaults>, replica?: number): void;
  /** Returns a copy of the current state for `restore`. */
  backup(): PlatformState;
  /**
   * Restores a backup on all replicas, including stale ones. Revisions go back
   * to those of the backup.
   */
  restore(state: PlatformState): void;
  /**
   * Requests received by all replicas so far, including those to unknown paths;
   * a long poll counts once.
   */
  requestCount(): number;
  close(): Promise<void>;
}

/**
 * Starts a stand-in platform on the loopback interface: by default one
 * replica on a free port.
 */
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

  function updateReplicas(): void {
    for (const replica of replicas) {
      if (!replica.faults.stale) replica.setState(copyState(state));
    }
  }

  return {
    url: replicas[0].url,
    urls: replicas.map((replica) => replica.url),
    publish(key, text, revision = state.documentRevision + 1) {
      putDocument(state, { key, revision, text });
      updateReplicas();
      return revision;
    },
    publishAt(index, published) {
      const current = copyState(replicas[index].state());
      putDocument(current, published);
      replicas[index].setState(current);
    },
    setVms(vms) {
      state.vms = vms;
      state.listRevision++;
      updateReplicas();
      return state.listRevision;
    },
    setFaults(next, index) {
      for (const [replicaIndex, replica] of replicas.entries()) {
        if (index !== undefined && replicaIndex !== index) continue;
        const wasStale = replica.faults.stale;
        Object.assign(replica.faults, next);
        const caughtUp = wasStale && !replica.faults.stale;
        replica.setState(caughtUp ? copyState(state) : replica.state());
      }
    },
    backup: () => copyState(state),
    restore(backup) {
      Object.assign(state, copyState(backup));
      for (const replica of replicas) replica.setState(copyState(state));
    },
    requestCount: () =>
      replicas.reduce((sum, replica) => sum + replica.reads(), 0),
    async close() {
      for (const replica of replicas) await replica.close();
    },
  };
}

interface Replica {
  readonly url: string;
  readonly faults: PlatformFaults;
  state(): PlatformState;
  /** Replaces the served state and wakes the waiting long polls. */
  setState(state: PlatformState): void;
  reads(): number;
  close(): Promise<void>;
}

async function startReplica(
  initial: PlatformState,
  port: number,
): Promise<Replica> {
  const faults: PlatformFaults = { down: false, stale: false, delayMs: 0 };
  const wakers = new Set<() => void>();
  let current = initial;
  let reads = 0;

  function setState(state: PlatformState): void {
    current = state;
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
    const deadlineMs = performance.now() + waitMs;
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    while (!faults.down && !route.isNewer(current, after)) {
      const remainingMs = deadlineMs - performance.now();
      if (remainingMs <= 0) break;
      await waitForChange(remainingMs);
    }
    if (faults.down) return void response.writeHead(503).end();
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(route.read(current, after)));
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://platform");
    void answer(url, response);
  });
  const url = await listen(server, port);
  return {
    url,
    faults,
    state: () => current,
    setState,
    reads: () => reads,
    async close() {
      faults.down = true;
      setState(current);
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

async function listen(server: Server, requestedPort: number): Promise<string> {
  server.listen(requestedPort, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return `http://127.0.0.1:${port}`;
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
