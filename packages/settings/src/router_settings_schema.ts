import { isIP } from "node:net";
import { z } from "zod";

const address = z.string().transform((text, context) => {
  const colon = text.lastIndexOf(":");
  const host = text.slice(0, colon);
  const port = Number(text.slice(colon + 1));
  if (isIP(host) !== 0 && Number.isInteger(port) && port >= 0 && port < 65536) {
    return { host, port };
  }
  context.addIssue({
    code: "custom",
    message: "this is no IP number with a port",
    params: { mend: "write it like 10.0.0.1:8080" },
  });
  return z.NEVER;
});

const milliseconds = z.number().min(0).max(3_600_000);

/** Schema of the settings of a router that decides by itself. */
export const routerSettingsSchema = z.strictObject({
  vm: z.string().min(1).meta({ description: "Name of this VM." }),
  dataCentre: z.string().min(1).meta({
    description: "Data centre of this VM.",
  }),
  callers: address.meta({ description: "Address for callers." }),
  ready: address.meta({
    description: "Address at which the balancer asks for readiness.",
  }),
  peers: address.meta({
    description: "Address for the other VMs, by UDP and by TCP.",
  }),
  metrics: address.meta({ description: "Address of /metrics." }),
  seeds: z.array(address).default([]).meta({
    description: "Addresses of a few VMs to begin with; they may be away.",
  }),
  platform: address.meta({
    description: "Address of the platform's service of published items.",
  }),
  retryRatio: z.number().min(0).max(1).default(0.1).meta({
    description: "Repeats for each first send to a service, over all VMs.",
  }),
  retrySlack: z.number().min(0).max(100_000).default(20).meta({
    description: "Repeats allowed besides in each window, over all VMs.",
  }),
  retryWindowSeconds: z.number().min(0.1).max(3600).default(10).meta({
    unit: "s",
    description: "Window over which repeats are counted.",
  }),
  leaveMs: milliseconds.default(2500).meta({
    unit: "ms",
    description: "Time for which a stopping VM still takes new requests.",
  }),
  stopGraceSeconds: z.number().min(0).max(3600).default(30).meta({
    unit: "s",
    description: "Time after which the platform kills a stopping process.",
  }),
  entriesBackMs: milliseconds.default(2200).meta({
    unit: "ms",
    description: "Time after an outage within which entries are back.",
  }),
  staleMs: milliseconds.default(4000).meta({
    unit: "ms",
    description:
      "Age of the knowledge of published items beyond which no request is denied.",
  }),
});

/** Checked settings of a router that decides by itself. */
export type RouterFileSettings = z.infer<typeof routerSettingsSchema>;
