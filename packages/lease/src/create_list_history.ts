import type { Clock } from "@rosemarytiller/shared";

/** A VM list with the period for which it was current in this process. */
export interface ListPeriod<List> {
  list: List;
  fromMs: number;
  /** `Infinity` for the current list. */
  untilMs: number;
}

/** Recent VM lists with the periods for which they were current. */
export interface ListHistory<List> {
  /** Records a new current list. */
  observe(list: List): void;
  /** Records that a peer has had the current list for `ageMs`. */
  confirmAge(ageMs: number): void;
  /** Lists that were current within the retained time, newest first. */
  lists(): readonly ListPeriod<List>[];
  /** Number that increases whenever `lists` changes. */
  version(): number;
  /**
   * Time for which the history is complete, that is, since the first known list
   * became current, in milliseconds; negative infinity without a list.
   */
  spanMs(): number;
  /** Time for which the current list has been current, in milliseconds. */
  ageMs(): number;
}

/** Creates an empty history that retains replaced lists for `keepMs`. */
export function createListHistory<List>(
  options: { clock: Clock; keepMs: number },
): ListHistory<List> {
  const { clock, keepMs } = options;
  let lists: ListPeriod<List>[] = [];
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
    confirmAge(ageMs) {
      const sinceMs = clock.now() - ageMs;
      if (lists.length === 0 || lists[0].fromMs <= sinceMs) return;
      version++;
      firstMs = Math.min(firstMs, sinceMs);
      lists[0].fromMs = sinceMs;
      // Lists that this process received since then were already outdated.
      lists = lists.filter((period) =>
        period === lists[0] || period.fromMs < sinceMs
      );
      for (const period of lists.slice(1)) {
        period.untilMs = Math.min(period.untilMs, sinceMs);
      }
    },
    lists() {
      const fromMs = clock.now() - keepMs;
      if (lists.some((period) => period.untilMs < fromMs)) {
        lists = lists.filter((period) => period.untilMs >= fromMs);
        version++;
      }
      return lists;
    },
    version: () => version,
    spanMs: () => clock.now() - firstMs,
    ageMs: () => lists.length > 0 ? clock.now() - lists[0].fromMs : 0,
  };
}
