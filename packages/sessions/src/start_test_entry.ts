import {
  createEntry,
  type PermitClient,
  type PermitClientOptions,
} from "@rosemarytiller/entry";
import { parseSettings } from "@rosemarytiller/settings";
import {
  createId,
  createSystemClock,
  ErrorKind,
  sleep,
  TillerError,
  UpstreamKind,
} from "@rosemarytiller/shared";
import { hashKey, TEST_KEY } from "./call_fleet.ts";

/**
 * An entry whose permit client grants every request for which an upstream has
 * not been tried yet.
 */
export interface TestEntry {
  readonly url: string;
  /** Outcomes of the permits returned so far, in order. */
  readonly outcomes: string[];
  /** Number of permits granted and not yet returned. */
  openPermits(): number;
  close(): Promise<void>;
}

/** Upstreams, class limits and settings of a test entry. */
export interface TestEntryOptions {
  /** Base URLs of the model runners, which serve the model `small`. */
  engines: string[];
  /** Base URL of the plain service `orders`; none by default. */
  service?: string;
  /**
   * Fields of both classes; they override `firstTokenMs` (430) and `queueMs`
   * (5000).
   */
  requestClass?: Record<string, unknown>;
  /**
   * Number of permits, from the first on, that expire before their call can
   * start; 0 by default.
   */
  expiredPermits?: number;
  /** Delay of each grant in milliseconds; 0 by default. */
  permitDelayMs?: number;
  /** Settings that override the defaults of `createTestSettings`. */
  settings?: Record<string, unknown>;
}

/**
 * Formats a document with the model `small`, the plain service `orders` and two
 * classes: requests with the header `x-once: yes` are not idempotent.
 */
export function formatTestDocument(options: TestEntryOptions): string {
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

/**
 * Creates settings for an entry that listens on free ports and stops without
 * grace time; `settings` overrides single fields.
 */
export function createTestSettings(settings: Record<string, unknown> = {}) {
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

/**
 * Starts an entry in this process, with a fixed document and no brokers or
 * platform to connect to; resolves when it is ready.
 */
export async function startTestEntry(
  options: TestEntryOptions,
): Promise<TestEntry> {
  const outcomes: string[] = [];
  const live = new Set<string>();
  const clock = createSystemClock();
  const { permitDelayMs = 0 } = options;
  let { expiredPermits = 0 } = options;
  const text = formatTestDocument(options);
  function createPermits({ view }: PermitClientOptions): PermitClient {
    view.offerDocument({ key: "services/test", revision: 1, text }, "test");
    view.offerVms({ revision: 1, vms: [] });
    return {
      acquire(call, pool, { avoid, waitUntilMs }) {
        if (clock.now() >= waitUntilMs) {
          const kind = ErrorKind.Overloaded;
          return Promise.reject(new TillerError(kind, "no permit in time"));
        }
        const { upstreams } = call.document;
        const isExpired = expiredPermits > 0;
        for (const [upstream, entry] of Object.entries(upstreams)) {
          if (avoid.includes(upstream)) continue;
          if (!entry.serves.includes(pool.target)) continue;
          const permit = createId("permit");
          live.add(permit);
          if (isExpired) expiredPermits--;
          const validUntilMs = isExpired ? clock.now() : Infinity;
          const granted = { permit, pool: "pool", upstream, validUntilMs };
          if (permitDelayMs === 0) return Promise.resolve(granted);
          return sleep(clock, permitDelayMs).then(() => granted);
        }
        const kind = ErrorKind.NoUpstream;
        return Promise.reject(new TillerError(kind, "all were tried"));
      },
      release(permit, report) {
        live.delete(permit.permit);
        outcomes.push(report.outcome);
      },
      liveCount: () => live.size,
      close() {},
    } as PermitClient;
  }
  const entry = await createEntry({
    settings: createTestSettings(options.settings),
    clock,
    createPermits,
  });
  await entry.ready;
  return {
    url: `http://${entry.address}`,
    outcomes,
    openPermits: () => live.size,
    close: entry.stop,
  };
}
