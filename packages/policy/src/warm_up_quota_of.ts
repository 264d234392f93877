/** VMs that share the warm-up of an upstream, as one of them knows them. */
export interface WarmUpFleet {
  /** This VM. */
  own: string;
  /** All VMs that may send, this one and those out of touch included. */
  vms: readonly string[];
  /** Weight of a VM at the upstream, the same on all VMs. */
  weightOf(vm: string): string;
  /** Whether a VM is in the upstream's data centre. */
  isLocal(vm: string): boolean;
}

/** Most calls that one VM may send in any window of `windowMs`. */
export interface WarmUpQuota {
  calls: number;
  /** Length of the sliding window, in milliseconds. */
  windowMs: number;
}

/** VMs assumed by a VM that knows no others. */
const ASSUMED_VMS = 16;
const MS_PER_SECOND = 1000;

/**
 * The part of one VM in the calls that an upstream takes in a second. The parts
 * of VMs that know the same fleet add up to the rate, however many they are: of
 * more VMs than calls, only some have a part, those of the upstream's data
 * centre first and then in the order of their weights. So no VM needs a recent
 * report of another one's calls.
 */
export function warmUpQuotaOf(
  perSecond: number,
  fleet: WarmUpFleet,
): WarmUpQuota {
  const { own, vms, weightOf, isLocal } = fleet;
  if (!vms.includes(own)) return { calls: 0, windowMs: MS_PER_SECOND };
  if (vms.length === 1) {
    return { calls: 1, windowMs: MS_PER_SECOND * ASSUMED_VMS / perSecond };
  }
  const calls = Math.max(1, Math.floor(perSecond));
  const windowMs = Math.max(MS_PER_SECOND, MS_PER_SECOND / perSecond);
  const ownWeight = weightOf(own);
  const isOwnLocal = isLocal(own);
  let rank = 0;
  for (const vm of vms) {
    const isVmLocal = isLocal(vm);
    const isBefore = isVmLocal === isOwnLocal
      ? weightOf(vm) < ownWeight
      : isVmLocal;
    if (isBefore) rank++;
  }
  const share = Math.floor(calls / vms.length);
  const isExtra = rank < calls % vms.length;
  return { calls: share + (isExtra ? 1 : 0), windowMs };
}
