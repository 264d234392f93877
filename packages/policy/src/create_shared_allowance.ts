import { type SharingFleet, TURN_MS, turnOf } from "./turn_of.ts";

/**
 * A rate of calls that all VMs together may send. Each VM counts the calls that
 * the others report; a call that becomes due belongs to the VM after the one
 * that sent the last call, and to the next ones if it does not use it.
 */
export interface SharedAllowance {
  /** Sets the calls a second of all VMs together. */
  setRate(perSecond: number): void;
  /** Counts a call that the VM `from` sent. */
  onSent(from: string, nowMs: number, fleet: SharingFleet): void;
  /** Whether this VM may send a call now. */
  canSend(nowMs: number, fleet: SharingFleet): boolean;
}

/** Time without calls that can be made up for, in milliseconds. */
const MAX_UNUSED_MS = 500;
/** VMs assumed by a VM that knows no others, to stay below the rate. */
const ASSUMED_VMS = 16;

/** Creates an allowance whose first call is due one interval after `nowMs`. */
export function createSharedAllowance(
  perSecond: number,
  nowMs: number,
): SharedAllowance {
  let rate = perSecond;
  let dueMs = nowMs + 1000 / rate;
  let lastSender = "";

  /**
   * Time between two calls in ms. VMs out of touch keep their part: they may be
   * cut off from this VM and use it.
   */
  function intervalMs({ reachable, known }: SharingFleet): number {
    const vms = known > 1 ? known : ASSUMED_VMS;
    return 1000 / rate * Math.max(1, vms / reachable.length);
  }

  return {
    setRate(newRate) {
      dueMs += 1000 / newRate - 1000 / rate;
      rate = newRate;
    },
    onSent(from, nowMs, fleet) {
      dueMs = Math.max(dueMs, nowMs - MAX_UNUSED_MS) + intervalMs(fleet);
      lastSender = from;
    },
    canSend: (nowMs, fleet) =>
      nowMs >= dueMs + turnOf(fleet, lastSender) * TURN_MS,
  };
}
