import type { Clock } from "@rosemarytiller/shared";

/** Software versions of the upstreams that this VM has observed, by service. */
export interface VersionHistory {
  /** The upstream `id` is registered with this service and version. */
  onEntry(
    id: string,
    upstream: { service: string; softwareVersion: string },
  ): void;
  /** The entry of `id` names no upstream, so that its removal hides none. */
  onRefused(id: string): void;
  /**
   * The entry of an upstream was removed; the upstream may still be used for
   * `keepMs`. An entry that was never received may have had any version.
   */
  onRemoved(id: string, keepMs: number): void;
  /**
   * Changes may have been missed: what was registered before and has left since
   * is unknown.
   */
  onGap(): void;
  /**
   * The version that all upstreams of some services have had for the last
   * `windowMs`; undefined if there were several, or if this VM has not observed
   * the services for so long.
   */
  onlyVersionOf(
    services: readonly string[],
    windowMs: number,
  ): string | undefined;
}

interface VersionUse {
  /** Identifiers of the upstreams that are registered with the version. */
  present: Set<string>;
  /** Monotonic time at which the last of them was removed, in ms. */
  lastUsedMs: number;
}

/** Creates the history of a VM that knows no upstream yet. */
export function createVersionHistory(clock: Clock): VersionHistory {
  const services = new Map<string, Map<string, VersionUse>>();
  /** Use to which each registered upstream belongs. */
  const useOf = new Map<string, VersionUse>();
  let observedSinceMs = clock.now();

  function findOrCreateUse(service: string, version: string): VersionUse {
    let versions = services.get(service);
    if (!versions) services.set(service, versions = new Map());
    let use = versions.get(version);
    if (!use) {
      use = { present: new Set(), lastUsedMs: 0 };
      versions.set(version, use);
    }
    return use;
  }

  function leave(id: string, lastUsedMs: number): boolean {
    const use = useOf.get(id);
    if (!use) return false;
    useOf.delete(id);
    use.present.delete(id);
    use.lastUsedMs = Math.max(use.lastUsedMs, lastUsedMs);
    return true;
  }

  function onGap(): void {
    observedSinceMs = clock.now();
  }

  return {
    onEntry(id, { service, softwareVersion }) {
      const use = findOrCreateUse(service, softwareVersion);
      if (useOf.get(id) === use) return;
      leave(id, clock.now());
      use.present.add(id);
      useOf.set(id, use);
    },
    onRefused(id) {
      leave(id, clock.now());
      useOf.set(id, { present: new Set(), lastUsedMs: 0 });
    },
    onRemoved(id, keepMs) {
      if (!leave(id, clock.now() + keepMs)) onGap();
    },
    onGap,
    onlyVersionOf(names, windowMs) {
      const sinceMs = clock.now() - windowMs;
      if (observedSinceMs > sinceMs) return undefined;
      let only: string | undefined;
      for (const name of names) {
        for (const [version, use] of services.get(name) ?? []) {
          if (use.present.size === 0 && use.lastUsedMs < sinceMs) continue;
          if (only !== undefined && version !== only) return undefined;
          only = version;
        }
      }
      return only;
    },
  };
}
