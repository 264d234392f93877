/** VMs that share an upstream, as one of them knows them. */
export interface SharingFleet {
  /** This VM. */
  own: string;
  /** VMs in touch, this one included, in string order. */
  reachable: readonly string[];
  /** Number of VMs, those out of touch included. */
  known: number;
}

/**
 * Time for which each VM in turn may send alone, in milliseconds: longer than
 * the report of a call takes within a data centre.
 */
export const TURN_MS = 15;

/**
 * Number of VMs that come before this one for the next call: the turn passes to
 * the VM after the one that sent the last call.
 */
export function turnOf(fleet: SharingFleet, lastSender: string): number {
  const { own, reachable } = fleet;
  const next = Math.max(0, reachable.findIndex((vm) => vm > lastSender));
  const turn = reachable.indexOf(own) - next;
  return turn < 0 ? turn + reachable.length : turn;
}
