import { isIP } from "node:net";
// The small variant: the whole library takes most of a router's start-up.
import * as z from "zod/mini";

z.config(z.locales.en());

/** Host and port. */
const address = z.pipe(
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

function milliseconds(preset: number, description: string) {
  const range = [z.minimum(0), z.maximum(3_600_000)] as const;
  return z._default(
    z.number().check(...range, describe(description, "ms")),
    preset,
  );
}

function number(
  preset: number,
  options: { minimum: number; maximum: number; description: string },
) {
  const { minimum, maximum, description } = options;
  return z._default(
    z.number().check(
      z.minimum(minimum),
      z.maximum(maximum),
      describe(description),
    ),
    preset,
  );
}

/** Schema of the settings of a router that decides by itself. */
export const routerSettingsSchema = z.strictObject({
  vm: z.string().check(z.minLength(1), describe("Name of this VM.")),
  dataCentre: z.string().check(
    z.minLength(1),
    describe("Data centre of this VM."),
  ),
  callers: address.check(describe("Address for callers.")),
  ready: address.check(
    describe("Address at which the balancer asks for readiness."),
  ),
  peers: address.check(
    describe("Address for the other VMs, by UDP and by TCP."),
  ),
  metrics: address.check(describe("Address of /metrics.")),
  seeds: z._default(
    z.array(address).check(
      describe("Addresses of a few VMs to begin with; they may be away."),
    ),
    [],
  ),
  platform: address.check(
    describe("Address of the platform's service of published items."),
  ),
  retryRatio: number(0.1, {
    minimum: 0,
    maximum: 1,
    description: "Repeats for each first send to a service, over all VMs.",
  }),
  retrySlack: number(20, {
    minimum: 0,
    maximum: 100_000,
    description: "Repeats allowed besides in each window, over all VMs.",
  }),
  retryWindowSeconds: number(10, {
    minimum: 0.1,
    maximum: 3600,
    description: "Window over which repeats are counted, in seconds.",
  }),
  leaveMs: milliseconds(
    2500,
    "Time for which a stopping VM still takes new requests.",
  ),
  stopGraceSeconds: number(30, {
    minimum: 0,
    maximum: 3600,
    description: "Seconds after which a stopping process is killed.",
  }),
  entriesBackMs: milliseconds(
    2200,
    "Time after an outage within which entries are back.",
  ),
  staleMs: milliseconds(
    4000,
    "Age of what is known to be published beyond which nothing is denied.",
  ),
});

/** Checked settings of a router that decides by itself. */
export type RouterFileSettings = z.infer<typeof routerSettingsSchema>;
