import {
  createEntry,
  type Permit,
  type PermitClient,
  type PermitClientOptions,
} from "@rosemarytiller/entry";
import { parseSettings } from "@rosemarytiller/settings";
import {
  createId,
  createSystemClock,
  ErrorKind,
  TillerError,
  UpstreamKind,
} from "@rosemarytiller/shared";
import { hashKey, TEST_KEY } from "./call_fleet.ts";

/** An entry with a permit client that always grants. */
export interface CallServer {
  readonly url: string;
  /** Permits returned so far, with their outcomes. */
  readonly outcomes: string[];
  /** Permits granted and not returned. */
  live(): number;
  close(): Promise<void>;
}

/** How the server's document is written. */
export interface CallServerOptions {
  /** Base URLs of the model runners and of the one plain service. */
  engines: string[];
  service?: string;
  /** Fields of the classes beside their names. */
  requestClass?: Record<string, unknown>;
  settings?: Record<string, unknown>;
}

/** Document with a model `small`, a plain service `orders` and two classes. */
export function formatCallDocument(options: CallServerOptions): string {
  const base = { dataCentre: "north", vm: "vm-u", maxConcurrent: 64 };
  const upstreams: Record<string, unknown> = {};
  for (const [index, address] of options.engines.entries()) {
    const kind = UpstreamKind.ModelRunner;
    upstreams[`runner-${index + 1}`] = {
      ...base,
      kind,
      address,
      serves: ["small"],
    };
  }
  if (options.service) {
    const kind = UpstreamKind.PlainService;
    upstreams["orders-1"] = {
      ...base,
      kind,
      address: options.service,
      serves: ["orders"],
    };
  }
  const limits = { firstTokenMs: 430, queueMs: 5000, ...options.requestClass };
  return JSON.stringify({
    service: "test",
    dataCentres: { north: { region: "r" } },
    clients: { counter: { keys: [hashKey(TEST_KEY)] } },
    upstreams,
    classes: [
      {
        name: "once",
        tier: 1,
        idempotent: false,
        match: { header: { name: "x-once", value: "yes" } },
        ...limits,
      },
      { name: "all", tier: 2, ...limits },
    ],
  });
}

/** Settings for tests. */
export function testSettings(settings: Record<string, unknown> = {}) {
  const text = JSON.stringify({
    vm: "vm-1",
    dataCentre: "north",
    platform: ["http://127.0.0.1:1"],
    linkKey: "a link key for the tests",
    entry: { port: 0 },
    entryAdmin: { port: 0 },
    stopGraceMs: 0,
    ...settings,
  });
  return parseSettings(text, "settings");
}

/** Starts a call server. */
export async function startCallServer(
  options: CallServerOptions,
): Promise<CallServer> {
  const outcomes: string[] = [];
  const live = new Set<string>();
  const text = formatCallDocument(options);
  function createPermits({ view }: PermitClientOptions): PermitClient {
    view.offerDocument({ key: "services/test", revision: 1, text }, "test");
    view.offerVms({ revision: 1, vms: [] });
    return {
      ask(call, pool, { avoid }) {
        const { upstreams } = call.document;
        for (const [upstream, entry] of Object.entries(upstreams)) {
          if (avoid.includes(upstream)) continue;
          if (!entry.serves.includes(pool.target)) continue;
          const permit = createId("permit");
          live.add(permit);
          const granted = { permit, pool: "pool", upstream } as Permit;
          return Promise.resolve(granted);
        }
        const kind = ErrorKind.NoUpstream;
        return Promise.reject(new TillerError(kind, "all were tried"));
      },
      finish(permit, report) {
        live.delete(permit.permit);
        outcomes.push(report.outcome);
      },
      liveCount: () => live.size,
      close() {},
    } as PermitClient;
  }
  const entry = await createEntry({
    settings: testSettings(options.settings),
    clock: createSystemClock(),
    createPermits,
  });
  await entry.ready;
  return {
    url: `http://${entry.address}`,
    outcomes,
    live: () => live.size,
    close: entry.stop,
  };
}
