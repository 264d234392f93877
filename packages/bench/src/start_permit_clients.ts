import { documentSchema, type RequestClass } from "@rosemarytiller/document";
import {
  type Call,
  createPermitClient,
  type PermitClient,
} from "@rosemarytiller/entry";
import { createFleetView, type FleetView } from "@rosemarytiller/platform";
import type { Fleet } from "@rosemarytiller/sessions";
import {
  CallOutcome,
  createId,
  createSystemClock,
  Role,
  UpstreamKind,
} from "@rosemarytiller/shared";
import { createRelay, type Relay } from "@rosemarytiller/standins";
import { createTimeline } from "@rosemarytiller/timeline";
import { Buffer } from "node:buffer";

/** Pool from which the measurements request permits. */
export const BENCH_POOL = {
  service: "test",
  target: "small",
  dataCentre: "north",
};

/** Permit clients of many entries in this process, connected to one broker. */
export interface PermitClients {
  /**
   * Acquires a permit and releases it at once. Resolves with the time that
   * acquiring it took, in milliseconds.
   */
  acquireAndRelease(index: number): Promise<number>;
  /** Bytes relayed between the clients and the broker so far. */
  relayedBytes(): number;
  close(): Promise<void>;
}

/** VM name of the permit client with this index, which starts at 0. */
export function clientVmName(index: number): string {
  return `client-${index + 1}`;
}

/**
 * Starts `count` permit clients that connect to the broker of the fleet's first
 * VM through a relay, and resolves once the view of each is ready.
 */
export async function startPermitClients(
  fleet: Fleet,
  count: number,
): Promise<PermitClients> {
  const clock = createSystemClock();
  const [vm] = fleet.vms;
  const relay = await createRelay(vm.brokerAddress);
  const clients: { permits: PermitClient; view: FleetView }[] = [];
  for (let index = 0; index < count; index++) {
    clients.push(startClient(clientVmName(index), { relay, vm: vm.name }));
  }
  await Promise.all(clients.map(({ view }) => view.ready));
  const signal = new AbortController().signal;
  return {
    async acquireAndRelease(index) {
      const { permits, view } = clients[index % count];
      const call = createSampleCall(view, clock.now());
      const startedMs = clock.now();
      const permit = await permits.acquire(call, BENCH_POOL, {
        avoid: [],
        retry: false,
        signal,
        waitUntilMs: startedMs + SAMPLE_CLASS.queueMs,
      });
      const elapsedMs = clock.now() - startedMs;
      permits.release(permit, {
        outcome: CallOutcome.Complete,
        firstTokenMs: 100,
        totalMs: 1000,
        tokens: 100,
      });
      return elapsedMs;
    },
    relayedBytes: () => relay.forwardedBytes(),
    async close() {
      for (const { permits } of clients) permits.close();
      await relay.close();
    },
  };
}

function startClient(
  name: string,
  options: { relay: Relay; vm: string },
): { permits: PermitClient; view: FleetView } {
  const clock = createSystemClock();
  const view = createFleetView({ clock });
  const permits = createPermitClient({
    identity: {
      vm: name,
      role: Role.Entry,
      incarnation: "1",
      key: "a link key for the test fleet",
    },
    view,
    clock,
    timeline: createTimeline({ process: name, clock }),
    ownBroker: options.relay.address,
    linkAddresses: { [options.vm]: options.relay.address },
  });
  return { permits, view };
}

const SAMPLE_CLASS: RequestClass = documentSchema.shape.classes.parse([{
  name: "all",
  tier: 1,
  firstTokenMs: 430,
  queueMs: 5000,
}])[0];

function createSampleCall(view: FleetView, arrivedMs: number): Call {
  return {
    requestId: createId("request"),
    document: view.documentOf(BENCH_POOL.service)!,
    requestClass: SAMPLE_CLASS,
    client: "caller",
    kind: UpstreamKind.ModelRunner,
    target: BENCH_POOL.target,
    stream: true,
    method: "POST",
    path: "/v1/chat/completions",
    headers: {},
    body: Buffer.alloc(0),
    arrivedMs,
    idempotencyKey: undefined,
    fingerprint: createId("body"),
    prefixHash: createId("prefix").slice(0, 16),
    promptTokens: 500,
  };
}
