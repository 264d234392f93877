import { isIP } from "node:net";
// zod/mini, because loading all of zod takes most of a router's start-up time.
import * as z from "zod/mini";

z.config(z.locales.en());

/** Parses `IP:PORT` into its host and port. */
const addressField = z.pipe(
  z.string(),
  z.transform((text, context) => {
    const colon = text.lastIndexOf(":");
    const host = text.slice(0, colon);
    const port = Number(text.slice(colon + 1));
    const isPort = Number.isInteger(port) && port >= 0 && port < 65536;
    if (isIP(host) !== 0 && isPort) return { host, port };
    context.issues.push({
      code: "custom",
      input: text,
      message: "this is no IP number with a port",
      params: { mend: "write it like 10.0.0.1:8080" },
    });
    return z.NEVER;
  }),
);

function describe(description: string, unit?: string) {
  return z.meta(unit === undefined ? { description } : { description, unit });
}

function millisecondsField(defaultValue: number, description: string) {
  const range = [z.minimum(0), z.maximum(3_600_000)] as const;
  return z._default(
    z.number().check(...range, describe(description, "ms")),
    defaultValue,
  );
}

function numberField(
  defaultValue: number,
  options: { minimum: number; maximum: number; description: string },
) {
  const { minimum, maximum, description } = options;
  return z._default(
    z.number().check(
      z.minimum(minimum),
      z.maximum(maximum),
      describe(description),
    ),
    defaultValue,
  );
}

/** Schema of the settings of a router that routes without brokers. */
export const routerSettingsSchema = z.strictObject({
  vm: z.string().check(z.minLength(1), describe("Name of this VM.")),
  dataCentre: z.string().check(
    z.minLength(1),
    describe("Data centre of this VM."),
  ),
  callers: addressField.check(describe("Address for callers.")),
  ready: addressField.check(
    describe("Address for the load balancer's readiness checks."),
  ),
  peers: addressField.check(
    describe("Address for the other VMs, over UDP and TCP."),
  ),
  metrics: addressField.check(describe("Address of /metrics.")),
  seeds: z._default(
    z.array(addressField).check(
      describe(
        "Addresses of a few VMs to contact first; they may be unreachable.",
      ),
    ),
    [],
  ),
  platform: addressField.check(
    describe("Address of the platform's service for published items."),
  ),
  retryRatio: numberField(0.1, {
    minimum: 0,
    maximum: 1,
    description:
      "Retries allowed per first attempt to a service, across all VMs.",
  }),
  retrySlack: numberField(20, {
    minimum: 0,
    maximum: 100_000,
    description: "Additional retries allowed per window, across all VMs.",
  }),
  retryWindowSeconds: numberField(10, {
    minimum: 0.1,
    maximum: 3600,
    description: "Window over which retries are counted, in seconds.",
  }),
  leaveMs: millisecondsField(
    2500,
    "Time for new requests in a stop; at most a third of the grace.",
  ),
  stopGraceSeconds: numberField(30, {
    minimum: 0,
    maximum: 3600,
    description: "Seconds after which a stopping process is killed.",
  }),
  entriesBackMs: millisecondsField(
    2200,
    "Time after a platform outage for which lapsed upstreams stay in use.",
  ),
  drainMs: millisecondsField(
    2000,
    "Time after which a leaving upstream must get no more requests.",
  ),
  firstStart: z._default(
    z.boolean().check(
      describe(
        "Whether all VMs start for the first time, rather than after a failure.",
      ),
    ),
    true,
  ),
  shareUpstreamLoad: z._default(
    z.boolean().check(
      describe(
        "Whether VMs of a large fleet report the load of their upstreams to other data centres.",
      ),
    ),
    false,
  ),
  leavingCallMs: millisecondsField(
    4,
    "Cost of a call to another data centre, as delay that it must save.",
  ),
  leavingKilobyteMs: millisecondsField(
    3,
    "Cost of each kilobyte of a body sent to another data centre, likewise.",
  ),
  memoryMegabytes: numberField(512, {
    minimum: 16,
    maximum: 1_000_000,
    description: "Memory that the process may use, in megabytes.",
  }),
  maxDescriptors: numberField(4096, {
    minimum: 16,
    maximum: 10_000_000,
    description: "File descriptors that the process may have open.",
  }),
  bodyTimeoutSeconds: numberField(30, {
    minimum: 1,
    maximum: 3600,
    description: "Longest time until a request's body is complete, in seconds.",
  }),
  readerTimeoutSeconds: numberField(20, {
    minimum: 1,
    maximum: 3600,
    description:
      "Longest time for which a client takes nothing of a response, in seconds.",
  }),
  staleMs: millisecondsField(
    4000,
    "Time since the last confirmation after which no route or key is denied.",
  ),
});

/** Parsed settings file of a router, with all defaults filled in. */
export type RouterFileSettings = z.infer<typeof routerSettingsSchema>;
