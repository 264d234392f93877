import {
  createModelAttempt,
  createServiceAttempt,
  type Permit,
  readCall,
  serveCall,
  type ServeOptions,
  writeProblem,
} from "@rosemarytiller/entry";
import { createMetrics } from "@rosemarytiller/metrics";
import { createFleetView } from "@rosemarytiller/platform";
import { parseSettings } from "@rosemarytiller/settings";
import {
  createId,
  createSystemClock,
  ErrorKind,
  TillerError,
  toTillerError,
  UpstreamKind,
} from "@rosemarytiller/shared";
import { createTimeline } from "@rosemarytiller/timeline";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent } from "undici";
import { hashKey, TEST_KEY } from "./call_fleet.ts";

/** The entry's code for calls behind a permit client that always grants. */
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
    ...settings,
  });
  return parseSettings(text, "settings");
}

/** Starts a call server. */
export async function startCallServer(
  options: CallServerOptions,
): Promise<CallServer> {
  const clock = createSystemClock();
  const view = createFleetView({ clock });
  const text = formatCallDocument(options);
  view.offerDocument({ key: "services/test", revision: 1, text }, "test");
  const outcomes: string[] = [];
  const live = new Set<string>();
  const document = view.documentOf("test")!;
  const dispatcher = new Agent({ pipelining: 1 });
  const attemptOptions = { dispatcher, clock, countCrossed: () => {} };
  const serveOptions: ServeOptions = {
    view,
    settings: testSettings(options.settings),
    clock,
    timeline: createTimeline({ process: "test", clock }),
    metrics: createMetrics(undefined),
    permits: {
      ask(_call, pool, { avoid }) {
        for (const [upstream, entry] of Object.entries(document.upstreams)) {
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
    } as ServeOptions["permits"],
    claims: { claim: () => Promise.resolve(undefined), close() {} },
    runners: {
      [UpstreamKind.ModelRunner]: createModelAttempt(attemptOptions),
      [UpstreamKind.PlainService]: createServiceAttempt(attemptOptions),
    },
  };
  const server = createServer(async (request, response) => {
    let id = "";
    try {
      const call = await readCall(request, serveOptions);
      id = call.request;
      await serveCall(call, response, serveOptions);
    } catch (error) {
      writeProblem(response, toTillerError(error), id);
    }
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    outcomes,
    live: () => live.size,
    async close() {
      server.closeAllConnections();
      server.close();
      await once(server, "close");
      await dispatcher.destroy();
    },
  };
}
