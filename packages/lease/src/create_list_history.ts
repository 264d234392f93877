import type { Clock } from "@rosemarytiller/shared";

/** A VM list and the time for which it was in force here. */
export interface PastList<List> {
  list: List;
  fromMs: number;
  /** `Infinity` for the list in force. */
  untilMs: number;
}

/** The VM lists of the recent past. */
export interface ListHistory<List> {
  /** Takes the list now in force. */
  observe(list: List): void;
  /** Takes a peer's word that the list in force is `ageMs` old. */
  attest(ageMs: number): void;
  /** Lists in force within the time kept, newest first. */
  lists(): readonly PastList<List>[];
  /** Number that grows whenever `lists` changes. */
  version(): number;
  /** Time for which all lists in force are known, in milliseconds. */
  spanMs(): number;
  /** Age of the list in force, in milliseconds. */
  ageMs(): number;
}

/** Creates an empty history that reaches `keepMs` back. */
export function createListHistory<List>(
  options: { clock: Clock; keepMs: number },
): ListHistory<List> {
  const { clock, keepMs } = options;
  let lists: PastList<List>[] = [];
  let firstMs = Infinity;
  let version = 0;

  return {
    observe(list) {
      const nowMs = clock.now();
      if (lists.length === 0) firstMs = nowMs;
      else lists[0].untilMs = nowMs;
      version++;
      lists = [{ list, fromMs: nowMs, untilMs: Infinity }, ...lists];
    },
    attest(ageMs) {
      const sinceMs = clock.now() - ageMs;
      if (lists.length === 0 || lists[0].fromMs <= sinceMs) return;
      version++;
      firstMs = Math.min(firstMs, sinceMs);
      lists[0].fromMs = sinceMs;
      // What this process saw since then was older than the list in force.
      lists = lists.filter((past) =>
        past === lists[0] || past.fromMs < sinceMs
      );
      for (const past of lists.slice(1)) {
        past.untilMs = Math.min(past.untilMs, sinceMs);
      }
    },
    lists() {
      const fromMs = clock.now() - keepMs;
      if (lists.some((past) => past.untilMs < fromMs)) {
        lists = lists.filter((past) => past.untilMs >= fromMs);
        version++;
      }
      return lists;
    },
    version: () => version,
    spanMs: () => clock.now() - firstMs,
    ageMs: () => lists.length > 0 ? clock.now() - lists[0].fromMs : 0,
  };
}
