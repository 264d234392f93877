import type { ErrorKind } from "@rosemarytiller/shared";
import type { AttemptResult, RouteKind } from "./enums.ts";

/** Upper bounds of the latency histograms, in seconds. */
const LATENCY_BUCKETS = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.3,
  0.4,
  0.6,
  0.8,
  1.2,
  2,
  3,
  5,
  10,
  20,
];

/** Reads the current values of gauges when the metrics are requested. */
export interface RouterGauges {
  openRequests(): number;
  queuedRequests(): number;
  openConnections(): number;
  presentVms(): number;
  revision(): number;
  era(): number;
  droppedLines(): number;
  sharedFacts(): number;
  droppedFacts(): number;
  limitedUpstreams(): number;
  openRelays(): number;
  lostServices(): number;
  intakeBytes(): number;
  responseBytes(): number;
  callerConnections(): number;
  contendedPools(): number;
}

/** Prometheus metrics of a VM; durations are passed in milliseconds. */
export interface RouterMetrics {
  onResponse(kind: RouteKind, status: number, ms: number): void;
  onAttempt(service: string, result: AttemptResult): void;
  onFirstEvent(urgency: number, ms: number): void;
  onRefusal(kind: ErrorKind): void;
  /** A caller was refused or closed as it took too much. */
  onIntakeBounded(reason: string): void;
  /**
   * A request was sent of which an earlier send may have been executed;
   * `isCopy`: to go on from a backup copy of that.
   */
  onRepeatedSend(kind: RouteKind, isCopy: boolean): void;
  /** All metrics in the Prometheus text format. */
  text(): Promise<string>;
  /** Descriptions of all metrics, for the documentation. */
  list(): Promise<MetricDescription[]>;
}

/** Name, type, help text and labels of a metric. */
export interface MetricDescription {
  name: string;
  /** `counter`, `gauge` or `histogram`. */
  type: string;
  help: string;
  labels: string[];
}

/** The metrics' objects, which exist once prom-client has been loaded. */
type LoadedMetrics = Awaited<ReturnType<typeof loadMetrics>>;

/** Observations buffered until prom-client is loaded; more are dropped. */
const MAX_PENDING_OBSERVATIONS = 10_000;

/**
 * Creates the metrics. prom-client is loaded `loadAfterMs` after the start, or
 * on the first request for metrics, so that it doesn't delay the start of a
 * restarted VM, for which callers wait.
 */
export function createRouterMetrics(
  gauges: RouterGauges,
  options: { loadAfterMs: number },
): RouterMetrics {
  let loaded: LoadedMetrics | undefined;
  let loading: Promise<LoadedMetrics> | undefined;
  let pending: ((metrics: LoadedMetrics) => void)[] = [];

  function load(): Promise<LoadedMetrics> {
    return loading ??= loadMetrics(gauges).then((metrics) => {
      loaded = metrics;
      for (const observe of pending) observe(metrics);
      pending = [];
      return metrics;
    });
  }

  function record(observe: (metrics: LoadedMetrics) => void): void {
    if (loaded) observe(loaded);
    else if (pending.length < MAX_PENDING_OBSERVATIONS) pending.push(observe);
  }

  setTimeout(load, options.loadAfterMs).unref();
  return {
    onResponse(kind, status, ms) {
      const labels = { kind, status: String(status) };
      record(({ responses }) => responses.observe(labels, ms / 1000));
    },
    onAttempt(service, result) {
      record(({ attempts }) => attempts.inc({ service, result }));
    },
    onFirstEvent(urgency, ms) {
      record(({ firstEvents }) => firstEvents.observe({ urgency }, ms / 1000));
    },
    onIntakeBounded(reason) {
      record(({ intakeBounded }) => intakeBounded.inc({ reason }));
    },
    onRefusal: (kind) => record(({ refusals }) => refusals.inc({ kind })),
    onRepeatedSend(kind, isCopy) {
      const labels = { kind, copy: isCopy ? "yes" : "no" };
      record(({ repeatedSends }) => repeatedSends.inc(labels));
    },
    text: async () => (await load()).registry.metrics(),
    list: async () => (await load()).descriptions,
  };
}

interface MetricSettings {
  name: string;
  help: string;
  labelNames?: readonly string[];
}

async function loadMetrics(gauges: RouterGauges) {
  const { Counter, Gauge, Histogram, Registry } = await import("prom-client");
  const registry = new Registry();
  const descriptions: MetricDescription[] = [];

  /** Records a metric's description and adds the registry to its settings. */
  function describe<T extends MetricSettings>(type: string, settings: T) {
    const { name, help, labelNames = [] } = settings;
    descriptions.push({ name, type, help, labels: [...labelNames] });
    return { ...settings, registers: [registry] };
  }
  const responses = new Histogram(describe("histogram", {
    name: "rosemarytiller_answer_seconds",
    help: "Time from a request's arrival to the end of its answer.",
    labelNames: ["kind", "status"] as const,
    buckets: LATENCY_BUCKETS,
  }));
  const attempts = new Counter(describe("counter", {
    name: "rosemarytiller_attempts_total",
    help: "Calls to upstreams by service and result.",
    labelNames: ["service", "result"] as const,
  }));
  const firstEvents = new Histogram(describe("histogram", {
    name: "rosemarytiller_first_event_seconds",
    help: "Time from the start of a call to its first event.",
    labelNames: ["urgency"] as const,
    buckets: LATENCY_BUCKETS,
  }));
  const refusals = new Counter(describe("counter", {
    name: "rosemarytiller_refusals_total",
    help: "Requests that ended with an error of this system by kind.",
    labelNames: ["kind"] as const,
  }));
  const intakeBounded = new Counter(describe("counter", {
    name: "rosemarytiller_intake_bounded_total",
    help: "Requests refused and connections closed as clients took too much " +
      "memory, time or room, by reason.",
    labelNames: ["reason"] as const,
  }));
  const repeatedSends = new Counter(describe("counter", {
    name: "rosemarytiller_repeated_sends_total",
    help: "Sends of requests that may have been executed before, by the " +
      "route's kind and whether the run goes on from a backup copy.",
    labelNames: ["kind", "copy"] as const,
  }));
  const readings: [string, string, () => number][] = [
    ["open_requests", "Requests in progress.", gauges.openRequests],
    ["held_requests", "Requests that wait for room.", gauges.queuedRequests],
    ["connections", "Connections to upstreams.", gauges.openConnections],
    ["present_vms", "VMs heard lately.", gauges.presentVms],
    ["revision", "Highest published revision known.", gauges.revision],
    ["era", "Era of the published revisions known.", gauges.era],
    ["shared_facts", "Facts shared by all VMs.", gauges.sharedFacts],
    [
      "shared_facts_dropped",
      "Shared facts dropped beyond the limit.",
      gauges.droppedFacts,
    ],
    [
      "limited_upstreams",
      "Upstreams that name a limit for the calls of all VMs.",
      gauges.limitedUpstreams,
    ],
    [
      "open_relays",
      "Requests that other VMs are serving for this one.",
      gauges.openRelays,
    ],
    [
      "lost_services",
      "Services whose upstreams this VM does not reach.",
      gauges.lostServices,
    ],
    [
      "intake_bytes",
      "Memory reserved for the bodies of requests, in bytes.",
      gauges.intakeBytes,
    ],
    [
      "response_bytes",
      "Memory reserved for responses until callers have them, in bytes.",
      gauges.responseBytes,
    ],
    [
      "caller_connections",
      "Connections of callers and of other VMs.",
      gauges.callerConnections,
    ],
    [
      "contended_pools",
      "Pools of engines with too little room, where accounts get shares.",
      gauges.contendedPools,
    ],
    ["log_lines_dropped", "Log lines left out.", gauges.droppedLines],
  ];
  for (const [name, help, read] of readings) {
    const settings = describe("gauge", {
      name: `rosemarytiller_${name}`,
      help,
    });
    new Gauge({
      ...settings,
      collect() {
        this.set(read());
      },
    });
  }
  return {
    registry,
    descriptions,
    responses,
    attempts,
    firstEvents,
    refusals,
    intakeBounded,
    repeatedSends,
  };
}
