/** An upstream that published that it leaves. */
export interface Departure {
  upstream: string;
  leftMs: number;
}

/** Upstreams that left and the calls that reached them; times in ms. */
export interface DepartureRun {
  departures: readonly Departure[];
  /** Arrivals of each request at upstreams. */
  arrivals: Iterable<readonly { upstream: string; arrivedMs: number }[]>;
  /** Start and end of each disruption of the store. */
  disruptions: readonly (readonly [startMs: number, endMs: number])[];
  /** Time after which a leaving upstream must get no more calls. */
  drainMs: number;
}

/**
 * Time before and after a disruption of the store in which VMs may not know a
 * departure, in milliseconds.
 */
const DISRUPTED_MS = 3000;
/** Time by which processes and timers of a busy machine may be late, in ms. */
const TOLERANCE_MS = 500;

/** Returns a line for each call that reached an upstream too late. */
export function checkDepartures(run: DepartureRun): string[] {
  const { departures, arrivals, disruptions, drainMs } = run;
  const leftMsOf = new Map(
    departures.map(({ upstream, leftMs }) => [upstream, leftMs]),
  );
  const lines: string[] = [];
  for (const list of arrivals) {
    for (const { upstream, arrivedMs } of list) {
      const leftMs = leftMsOf.get(upstream);
      if (leftMs === undefined) continue;
      if (arrivedMs <= leftMs + drainMs + TOLERANCE_MS) continue;
      const isExcused = disruptions.some(([startMs, endMs]) =>
        startMs < arrivedMs && endMs > leftMs - DISRUPTED_MS &&
        endMs + DISRUPTED_MS > arrivedMs
      );
      if (isExcused) continue;
      const lateMs = Math.round(arrivedMs - leftMs);
      lines.push(`${upstream} got a call ${lateMs} ms after it had left`);
    }
  }
  return lines;
}
