import { type Link, MessageKind, type PoolSummary } from "@rosemarytiller/link";
import type { FleetView } from "@rosemarytiller/platform";
import { type Clock, Role } from "@rosemarytiller/shared";
import type { Leadership } from "./create_leadership.ts";

/** Time between two regular heartbeats on a link, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 300;
/** Heartbeat intervals between two heartbeats while no lease is wanted. */
export const IDLE_HEARTBEAT_INTERVALS = 5;
/**
 * Heartbeat intervals between two heartbeats that carry pool summaries. While
 * no lease is wanted, only intervals that are multiples of this and of
 * `IDLE_HEARTBEAT_INTERVALS` have one.
 */
export const SUMMARY_HEARTBEAT_INTERVALS = 3;

/** Heartbeats of a broker on its links; the regular ones go to entries only. */
export interface Heartbeats {
  /** Sends a heartbeat without pool summaries on one link. */
  sendTo(link: Link): void;
  /**
   * Sends a heartbeat to each entry that has not yet been sent the current list
   * of wanted leases.
   */
  sendWantedLeases(links: Iterable<Link>): void;
  /**
   * Sends the regular heartbeat to all entries. Call it once per
   * `HEARTBEAT_INTERVAL_MS`; it skips intervals while no lease is wanted.
   */
  sendRegular(links: Iterable<Link>, summaries: () => PoolSummary[]): void;
  /** Lists the wanted and led leases in the next heartbeat on a link. */
  resendLeases(link: Link): void;
  /** Drops the state of a closed link. */
  dropLink(link: Link): void;
}

/**
 * Creates the heartbeats of a broker. The lists of wanted and led leases are
 * sent only on links where they differ from those sent last.
 */
export function createHeartbeats(
  leadership: Leadership,
  options: { clock: Clock; view: FleetView },
): Heartbeats {
  const { clock, view } = options;
  /** Wanted and led leases as last sent on each link. */
  const lastSent = new Map<Link, { wants: string; leads: string }>();
  let intervals = 0;

  function send(link: Link, pools: PoolSummary[]): void {
    const wants = leadership.wantedLeases();
    const leads = leadership.ledLeases();
    const now = { wants: wants.join("\n"), leads: leads.join("\n") };
    const last = lastSent.get(link);
    lastSent.set(link, now);
    link.send({
      kind: MessageKind.Heartbeat,
      stamp: clock.now(),
      idle: leadership.isIdle(),
      pools,
      revision: view.revision(),
      listRevision: view.listRevision(),
      ...last?.wants === now.wants ? {} : { wants },
      ...last?.leads === now.leads ? {} : { leads },
    });
  }

  return {
    sendTo: (link) => send(link, []),
    sendWantedLeases(links) {
      const wants = leadership.wantedLeases().join("\n");
      for (const link of links) {
        if (link.role !== Role.Entry) continue;
        if (lastSent.get(link)?.wants !== wants) send(link, []);
      }
    },
    sendRegular(links, summaries) {
      intervals++;
      if (leadership.isIdle() && intervals % IDLE_HEARTBEAT_INTERVALS !== 0) {
        return;
      }
      const pools = intervals % SUMMARY_HEARTBEAT_INTERVALS === 0
        ? summaries()
        : [];
      for (const link of links) {
        if (link.role === Role.Entry) send(link, pools);
      }
    },
    resendLeases: (link) => void lastSent.delete(link),
    dropLink: (link) => void lastSent.delete(link),
  };
}
