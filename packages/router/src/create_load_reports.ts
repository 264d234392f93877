import { LoadEventKind, type PeerNetwork } from "@rosemarytiller/peers";
import { loadOf } from "@rosemarytiller/policy";
import type { Clock } from "@rosemarytiller/shared";
import { randomInt } from "node:crypto";
import type { Registry, Upstream } from "./create_registry.ts";

/**
 * Reports the load of this data centre's upstreams to VMs of the others, which
 * in a large fleet do not learn of each call there.
 */
export interface LoadReports {
  /** Sends the next report; to be called every `LOAD_REPORT_MS`. */
  send(): void;
}

/** Dependencies of the load reports. */
export interface LoadReportOptions {
  clock: Clock;
  registry: Pick<Registry, "all">;
  network: Pick<
    PeerNetwork,
    "isLargeFleet" | "reachableMembers" | "sendLoadEvents"
  >;
  /** Data centre of this VM. */
  dataCentre: string;
}

/** Interval at which a VM sends a report, in milliseconds. */
export const LOAD_REPORT_MS = 250;
/** VMs of other data centres that get each report. */
const REPORT_TARGETS = 4;
/** Upstreams in one report, so that its size does not grow with the fleet. */
const MAX_REPORTED_UPSTREAMS = 16;
/** Time after the start in which a VM does not know all calls yet, in ms. */
const SETTLE_MS = 2000;
/** Bound of the random position of the first target. */
const MAX_FIRST_TURN = 1024;

/** Creates the reports of a VM that starts now. */
export function createLoadReports(options: LoadReportOptions): LoadReports {
  const { clock, registry, network, dataCentre } = options;
  const startMs = clock.now();
  let upstreamTurn = 0;
  // VMs that start together begin with different targets.
  let targetTurn = randomInt(MAX_FIRST_TURN);

  function listUpstreams(): Upstream[] {
    const list: Upstream[] = [];
    for (const upstream of registry.all()) {
      if (upstream.entry.dataCentre === dataCentre) list.push(upstream);
    }
    return list;
  }

  /** Members of the other data centres, alternating between these. */
  function listTargets(): string[] {
    const hostsByCentre = new Map<string, string[]>();
    for (const { host, dataCentre: centre } of network.reachableMembers()) {
      if (centre === dataCentre || centre === "") continue;
      const hosts = hostsByCentre.get(centre);
      if (hosts) hosts.push(host);
      else hostsByCentre.set(centre, [host]);
    }
    const centres = [...hostsByCentre.values()];
    const targets: string[] = [];
    for (let count = 0; count < REPORT_TARGETS; count++) {
      if (centres.length === 0) break;
      const turn = targetTurn++;
      const hosts = centres[turn % centres.length]!;
      targets.push(hosts[Math.floor(turn / centres.length) % hosts.length]!);
    }
    return [...new Set(targets)];
  }

  return {
    send() {
      const isSettled = clock.now() - startMs >= SETTLE_MS;
      if (!isSettled || !network.isLargeFleet()) return;
      const upstreams = listUpstreams();
      const count = Math.min(MAX_REPORTED_UPSTREAMS, upstreams.length);
      if (count === 0) return;
      const events = [];
      for (let index = 0; index < count; index++) {
        const { entry, model } = upstreams[upstreamTurn++ % upstreams.length]!;
        events.push({
          kind: LoadEventKind.UpstreamLoad as const,
          upstream: entry.id,
          ...loadOf(model, clock.now()),
        });
      }
      network.sendLoadEvents(events, listTargets());
    },
  };
}
