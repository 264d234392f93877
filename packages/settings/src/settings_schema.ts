import { isIP } from "node:net";
import { z } from "zod";

const ipNumber = z.string().refine((host) => isIP(host) !== 0, {
  message: "the host is not an IP number",
  params: { mend: "write an IP number such as 10.0.0.1" },
});

const listenAddress = z.strictObject({
  host: ipNumber.default("127.0.0.1").meta({
    description: "IP address to listen on.",
  }),
  port: z.int().min(0).max(65535).meta({ description: "Port to listen on." }),
});

/** Schema of the settings file, which a VM's entry and broker share. */
export const settingsSchema = z.strictObject({
  vm: z.string().meta({ description: "Name of this VM in the VM list." }),
  dataCentre: z.string().meta({ description: "Data centre of this VM." }),
  region: z.string().default("").meta({ description: "Region of this VM." }),
  platform: z.array(z.url()).min(1).meta({
    description: "Base URLs of the platform's replicas, tried in turn.",
  }),
  seeds: z.array(z.string().regex(/^.+:[0-9]+$/)).default([]).meta({
    description:
      "Addresses of a few brokers to contact while no VM list is known.",
  }),
  linkKey: z.string().min(16).meta({
    description: "Shared key with which the processes authenticate each other.",
  }),
  entry: listenAddress.prefault({ port: 8080 }).meta({
    description: "Address for callers.",
  }),
  entryAdmin: listenAddress.prefault({ port: 8081 }).meta({
    description: "Admin address of the entry: /live, /ready, /status.",
  }),
  broker: listenAddress.prefault({ port: 8082 }).meta({
    description: "Address of the broker for links and admin.",
  }),
  linkAddresses: z.record(z.string(), z.string()).default({}).meta({
    description: "Link addresses by VM name; they override the VM list.",
  }),
  statsd: z.strictObject({
    host: ipNumber.meta({ description: "IP address of the server." }),
    port: z.int().min(1).max(65535).meta({ description: "UDP port." }),
  }).optional().meta({ description: "Address of the statsd server." }),
  maxBodyBytes: z.int().min(1024).max(67_108_864).default(8_388_608).meta({
    unit: "bytes",
    description: "Maximum size of a request body.",
  }),
  bodyTimeoutMs: z.int().min(100).max(600_000).default(15_000).meta({
    unit: "ms",
    description: "Maximum time for a request's headers and body to arrive.",
  }),
  balancerLagMs: z.int().min(0).max(600_000).default(5000).meta({
    unit: "ms",
    description:
      "Time for which a stopping entry, no longer ready, accepts new requests.",
  }),
  stopGraceMs: z.int().min(0).max(3_600_000).default(120_000).meta({
    unit: "ms",
    description: "Maximum time for streams to finish during a planned stop.",
  }),
  retryHorizonMs: z.int().min(1000).max(86_400_000).default(600_000).meta({
    unit: "ms",
    description: "How long an idempotency key is kept.",
  }),
  listLagMs: z.int().min(100).max(600_000).default(10_000).meta({
    unit: "ms",
    description:
      "Maximum time by which a confirmed VM list may be out of date.",
  }),
});

/** Parsed settings of a process, with all defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
