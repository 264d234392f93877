import { handleAdminRequest } from "@rosemarytiller/admin";
import type { LinkIdentity } from "@rosemarytiller/link";
import { createMetrics, MetricName } from "@rosemarytiller/metrics";
import { createFleetView, recordFleetChanges } from "@rosemarytiller/platform";
import type { Settings } from "@rosemarytiller/settings";
import {
  type Clock,
  createId,
  ErrorKind,
  EventKind,
  LogPart,
  Role,
  sleep,
  TillerError,
  toTillerError,
  UpstreamKind,
  useLog,
} from "@rosemarytiller/shared";
import { createTimeline } from "@rosemarytiller/timeline";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { Agent } from "undici";
import { createCallerServer } from "./create_caller_server.ts";
import { createClaimClient } from "./create_claim_client.ts";
import { createOpenRequests } from "./create_open_requests.ts";
import {
  createPermitClient,
  type PermitClient,
  type PermitClientOptions,
} from "./create_permit_client.ts";
import { authenticateCaller, MODELS_PATH, readCall } from "./read_call.ts";
import { createModelAttemptRunner } from "./run_model_attempt.ts";
import { createServiceAttemptRunner } from "./run_service_attempt.ts";
import { serveCall } from "./serve_call.ts";
import { createUpstreamConnector } from "./create_upstream_connector.ts";
import { writeProblem } from "./write_problem.ts";

/** A running entry: the server for callers and its admin server. */
export interface Entry {
  /** `host:port` for callers. */
  readonly address: string;
  /** `host:port` of the admin server. */
  readonly adminAddress: string;
  /**
   * Resolves when the document and the VM list are known and were compared with
   * those of peers, or the wait for peers is over. Permits may not be available
   * yet.
   */
  readonly ready: Promise<void>;
  /**
   * Shuts down gracefully: reports that it is not ready, serves what the load
   * balancer still sends, closes the listener, and waits up to the grace period
   * for requests in progress to end and return their permits; then closes the
   * remaining connections.
   */
  stop(): Promise<void>;
}

/** Dependencies and settings of an entry. */
export interface EntryOptions {
  settings: Settings;
  clock: Clock;
  /**
   * Creates the permit client; by default one that requests permits from the
   * leaders.
   */
  createPermits?: (options: PermitClientOptions) => PermitClient;
}

/** Starts an entry; resolves when both of its servers listen. */
export async function createEntry(options: EntryOptions): Promise<Entry> {
  const { settings, clock, createPermits = createPermitClient } = options;
  const log = useLog(LogPart.Entry);
  const identity: LinkIdentity = {
    vm: settings.vm,
    role: Role.Entry,
    incarnation: String(clock.wall()),
    key: settings.linkKey,
  };
  const timeline = createTimeline({ process: `${settings.vm}/entry`, clock });
  const metrics = createMetrics(settings.statsd);
  const view = createFleetView({ clock });
  recordFleetChanges(view, { timeline, metrics });
  const permits = createPermits({
    identity,
    view,
    clock,
    timeline,
    ownBroker: `${settings.broker.host}:${settings.broker.port}`,
    linkAddresses: settings.linkAddresses,
  });
  const claims = createClaimClient({
    identity,
    view,
    clock,
    timeline,
    horizonMs: settings.retryHorizonMs,
    linkAddresses: settings.linkAddresses,
  });
  const dispatcher = new Agent({
    pipelining: 1,
    connect: createUpstreamConnector(clock),
    // Disabled: the class's `totalMs` limits each call, and the idle timer each
    // stream.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const attemptOptions = {
    dispatcher,
    clock,
    countDroppedEvent: () => metrics.count(MetricName.EventsDropped, 1),
  };
  const serveOptions = {
    view,
    settings,
    clock,
    timeline,
    metrics,
    permits,
    claims,
    runners: {
      [UpstreamKind.ModelRunner]: createModelAttemptRunner(attemptOptions),
      [UpstreamKind.PlainService]: createServiceAttemptRunner(attemptOptions),
    },
  };
  const openRequests = createOpenRequests();
  let stopping = false;
  let stopped = false;

  function isEntryReady(): boolean {
    return view.isReady() && permits.isReady() && !stopping;
  }

  function assertServing(): void {
    if (stopped) {
      throw new TillerError(
        ErrorKind.Stopping,
        "this process is stopping; send the request again",
      );
    }
    if (!view.isReady()) {
      throw new TillerError(
        ErrorKind.NotReady,
        "this process has no configuration yet; retry later",
      );
    }
  }

  async function serveRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let id = createId("request");
    metrics.count(MetricName.RequestsReceived, 1);
    try {
      assertServing();
      if (request.url?.split("?")[0] === MODELS_PATH) {
        writeModelList(request, response);
        return;
      }
      const call = await readCall(request, serveOptions);
      id = call.requestId;
      const className = call.requestClass.name;
      timeline.record(EventKind.RequestReceived, id, {
        class: className,
        client: call.client,
        target: call.target,
      });
      await serveCall(call, response, serveOptions);
      timeline.record(EventKind.RequestAnswered, id, {
        class: className,
        totalMs: Math.round(clock.now() - call.arrivedMs),
      });
      metrics.count(MetricName.RequestsAnswered, 1, { class: className });
      metrics.timing(MetricName.TotalMs, clock.now() - call.arrivedMs, {
        class: className,
      });
    } catch (cause) {
      const error = toTillerError(cause);
      if (error.kind === ErrorKind.Internal) log.error(error.message, cause);
      timeline.record(EventKind.RequestRefused, id, {
        error: error.kind,
        run: error.run,
      });
      metrics.count(MetricName.RequestsRefused, 1, { error: error.kind });
      writeProblem(response, error, id);
    }
  }

  function writeModelList(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const { document } = authenticateCaller(request, view);
    const models = new Set<string>();
    for (const upstream of Object.values(document.upstreams)) {
      if (upstream.kind !== UpstreamKind.ModelRunner) continue;
      for (const model of upstream.serves) models.add(model);
    }
    const data = [...models].sort().map((id) => ({ id, object: "model" }));
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ object: "list", data }));
  }

  const server = createCallerServer(settings, {
    onRequest: (request, response) =>
      void openRequests.track(response, () => serveRequest(request, response)),
    onClientError(error) {
      metrics.count(MetricName.RequestsReceived, 1);
      metrics.count(MetricName.RequestsRefused, 1, { error: error.kind });
    },
  });
  const admin = createServer((request, response) =>
    handleAdminRequest(request, response, {
      isReady: isEntryReady,
      status: () => ({
        process: `${settings.vm}/entry`,
        role: Role.Entry,
        dataCentre: settings.dataCentre,
        ready: isEntryReady(),
        stopping,
        revisions: view.revisions(),
        digests: view.digests(),
        listRevision: view.listRevision(),
        members: view.vms().map(({ name, state }) => ({ name, state })),
        entry: { requests: openRequests.count(), permits: permits.liveCount() },
      }),
      timeline,
    })
  );
  const address = await listen(server, settings.entry);
  const adminAddress = await listen(admin, settings.entryAdmin);
  timeline.record(EventKind.ProcessStarted, "");
  log.info(`Listening on ${address}.`);

  return {
    address,
    adminAddress,
    ready: view.ready,
    async stop() {
      stopping = true;
      timeline.record(EventKind.ProcessStopping, "");
      openRequests.drain();
      // The load balancer keeps sending until it sees that this is not ready.
      await sleep(clock, settings.balancerLagMs);
      server.close();
      server.closeIdleConnections();
      await Promise.race([
        openRequests.whenIdle(),
        sleep(clock, settings.stopGraceMs),
      ]);
      stopped = true;
      if (openRequests.count() > 0) {
        log.warn(
          `The grace period is over; closing ${openRequests.count()} open requests.`,
        );
      }
      permits.close();
      claims.close();
      metrics.close();
      server.closeAllConnections();
      admin.closeAllConnections();
      admin.close();
      await dispatcher.destroy();
      log.info("Stopped.");
    },
  };
}

async function listen(
  server: Server,
  address: { host: string; port: number },
): Promise<string> {
  server.listen(address.port, address.host);
  await once(server, "listening");
  const bound = server.address() as AddressInfo;
  return `${bound.address}:${bound.port}`;
}
