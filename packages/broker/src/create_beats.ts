import { type Link, MessageKind, type PoolSummary } from "@rosemarytiller/link";
import type { FleetView } from "@rosemarytiller/platform";
import { type Clock, Role } from "@rosemarytiller/shared";
import type { Leadership } from "./create_leadership.ts";

/** Time between two beats to each link. */
export const BEAT_MS = 300;
/** Beats left out, but one, while there is no traffic. */
export const IDLE_BEATS = 5;
/** Beats of which one brings the state of the pools. */
export const SUMMARY_BEATS = 3;

/** Beats of a broker to its links. */
export interface Beats {
  /** Sends a beat to one link. */
  tell(link: Link): void;
  /** Sends a beat to the links that don't know of a wanted lease. */
  tellChanges(links: Iterable<Link>): void;
  /** Sends the regular beat; call each `BEAT_MS`. */
  tellAll(links: Iterable<Link>, summaries: () => PoolSummary[]): void;
  /** Forgets a link. */
  forget(link: Link): void;
}

/** Creates the beats of a broker. */
export function createBeats(
  leadership: Leadership,
  options: { clock: Clock; view: FleetView },
): Beats {
  const { clock, view } = options;
  /** What each link was told of wanted and of led leases. */
  const told = new Map<Link, { wants: string; leads: string }>();
  let count = 0;

  function send(link: Link, pools: PoolSummary[]): void {
    const wants = leadership.wants();
    const leads = leadership.leads();
    const now = { wants: wants.join("\n"), leads: leads.join("\n") };
    const last = told.get(link);
    told.set(link, now);
    link.send({
      kind: MessageKind.Beat,
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
    tell: (link) => send(link, []),
    tellChanges(links) {
      const wants = leadership.wants().join("\n");
      for (const link of links) {
        if (link.role !== Role.Entry) continue;
        if (told.get(link)?.wants !== wants) send(link, []);
      }
    },
    tellAll(links, summaries) {
      count++;
      if (leadership.isIdle() && count % IDLE_BEATS !== 0) return;
      const pools = count % SUMMARY_BEATS === 0 ? summaries() : [];
      for (const link of links) {
        if (link.role === Role.Entry) send(link, pools);
      }
    },
    forget: (link) => void told.delete(link),
  };
}
