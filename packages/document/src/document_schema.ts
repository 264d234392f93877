import { ServiceState, UpstreamKind } from "@rosemarytiller/shared";
import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/);
const serviceState = z.enum(ServiceState).default(ServiceState.InService);

const dataCentreSchema = z.strictObject({
  region: name.meta({ description: "Region of the data centre." }),
  state: serviceState.meta({
    description: "When out of service, no new calls start there.",
  }),
});

const clientSchema = z.strictObject({
  keys: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1).meta({
    description: "SHA-256 of each API key, in hexadecimal.",
  }),
  weight: z.number().min(0.1).max(100).default(1).meta({
    description: "Weight in a tier's grants, relative to other clients.",
  }),
});

const upstreamSchema = z.strictObject({
  kind: z.enum(UpstreamKind).meta({ description: "Kind of upstream." }),
  serves: z.array(name).min(1).meta({
    description: "Models of a model runner, or the one plain service.",
  }),
  dataCentre: name.meta({ description: "Data centre of the upstream." }),
  vm: name.meta({ description: "Name, in the VM list, of its VM." }),
  address: z.url().meta({
    description: "Base URL, with an IP address as host.",
  }),
  state: serviceState.meta({
    description: "When out of service, no new calls start there.",
  }),
  maxConcurrent: z.int().min(1).max(4096).meta({
    unit: "calls",
    description: "Maximum concurrent calls when warm.",
  }),
  coldConcurrent: z.int().min(1).max(4096).default(1).meta({
    unit: "calls",
    description: "Maximum concurrent calls until it counts as warm.",
  }),
  warmAfterCalls: z.int().min(1).max(100_000).default(8).meta({
    unit: "calls",
    description: "Complete answers after which it counts as warm.",
  }),
});

const classSchema = z.strictObject({
  name: name.meta({ description: "Name of the class." }),
  tier: z.int().min(1).max(4).meta({
    description: "Priority; 1 is the highest.",
  }),
  match: z.strictObject({
    clients: z.array(name).default([]).meta({
      description: "Client accounts; empty means all.",
    }),
    models: z.array(name).default([]).meta({
      description: "Models; with no service either, empty means all.",
    }),
    services: z.array(name).default([]).meta({
      description: "Plain services; with no model either, empty means all.",
    }),
    header: z.strictObject({
      name: z.string().regex(/^[a-z0-9-]+$/).meta({
        description: "Name of the header, in lower case.",
      }),
      value: z.string().meta({ description: "Value that it must have." }),
    }).optional().meta({ description: "Header that a request must have." }),
  }).prefault({}).meta({
    description: "The first class whose conditions all match is used.",
  }),
  firstTokenMs: z.int().min(1).max(600_000).meta({
    unit: "ms",
    description: "Target time to the first token or byte.",
  }),
  betweenTokensMs: z.int().min(1).max(60_000).default(30).meta({
    unit: "ms",
    description: "Target time between tokens.",
  }),
  queueMs: z.int().min(1).max(600_000).meta({
    unit: "ms",
    description: "Maximum wait for an upstream before the request is refused.",
  }),
  totalMs: z.int().min(1).max(3_600_000).default(300_000).meta({
    unit: "ms",
    description: "Maximum time for the complete answer.",
  }),
  floorShare: z.number().min(0).max(0.25).default(0.02).meta({
    description: "Share of a pool's grants reserved for the class.",
  }),
  idempotent: z.boolean().default(true).meta({
    description: "If false, a request runs at most once.",
  }),
  dataCentres: z.array(name).default([]).meta({
    description: "Data centres that may serve it; empty means all.",
  }),
  upstreams: z.array(name).default([]).meta({
    description: "Upstreams that may serve it; empty means all.",
  }),
});

/** Schema of each field; `parseDocument` also checks fields together. */
export const documentSchema = z.strictObject({
  service: name.meta({ description: "Name of the service." }),
  dataCentres: z.record(name, dataCentreSchema).meta({
    description: "Data centres by name.",
  }),
  clients: z.record(name, clientSchema).meta({
    description: "Client accounts by name.",
  }),
  upstreams: z.record(name, upstreamSchema).meta({
    description: "Upstreams by name.",
  }),
  classes: z.array(classSchema).min(1).meta({
    description: "Request classes; the first that matches is used.",
  }),
  vmsOutOfService: z.array(name).default([]).meta({
    description: "VMs taken out of service by operators.",
  }),
});

/** A parsed service document, with all defaults filled in. */
export type ServiceDocument = z.infer<typeof documentSchema>;
/** A class of requests as the document describes it. */
export type RequestClass = ServiceDocument["classes"][number];
/** An upstream as the document describes it. */
export type UpstreamEntry = ServiceDocument["upstreams"][string];
/** A client account as the document describes it. */
export type ClientEntry = ServiceDocument["clients"][string];
