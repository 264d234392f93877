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
  /** Takes a peer's word that the list in force is as old as the window. */
  attest(): void;
  /** Lists in force within the window, newest first. */
  lists(): readonly PastList<List>[];
  /** Number that grows whenever `lists` changes. */
  version(): number;
  /** Whether older lists may have been in force unknown to this process. */
  isYoung(): boolean;
  /** Whether the list in force is as old as the window. */
  isSettled(): boolean;
}

/** Creates an empty history that reaches `windowMs` back. */
export function createListHistory<List>(
  options: { clock: Clock; windowMs: number },
): ListHistory<List> {
  const { clock, windowMs } = options;
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
    attest() {
      if (lists.length === 0) return;
      version++;
      firstMs = -Infinity;
      lists[0].fromMs = -Infinity;
      lists.length = 1;
    },
    lists() {
      const fromMs = clock.now() - windowMs;
      if (lists.some((past) => past.untilMs < fromMs)) {
        lists = lists.filter((past) => past.untilMs >= fromMs);
        version++;
      }
      return lists;
    },
    version: () => version,
    isYoung: () => clock.now() - firstMs < windowMs,
    isSettled: () =>
      lists.length > 0 && clock.now() - lists[0].fromMs >= windowMs,
  };
}
