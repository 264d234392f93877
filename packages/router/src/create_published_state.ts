import {
  comparePositions,
  createPublishedItems,
  type Member,
  type PeerNetwork,
  type PublishedChanges,
  type PublishedItem,
  type PublishedItems,
  type PublishedPosition,
  pullConfiguration,
  pullPublished,
  type PushedItems,
} from "@rosemarytiller/peers";
import type { CancelTimer, Clock } from "@rosemarytiller/shared";
import {
  type ConfigurationIndex,
  createConfigurationIndex,
} from "./create_configuration_index.ts";
import type { Registry } from "./create_registry.ts";
import {
  createRemovalGrace,
  type PlatformReads,
} from "./create_removal_grace.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import {
  type Configuration,
  DecodedItemKind,
  type DecodeItem,
  type PublishedSink,
  type UpstreamEntry,
} from "./ports.ts";

/**
 * What the platform publishes, as this VM knows it: by reading, from pushes of
 * its peers, and by pulling what a peer's heartbeat shows to be newer.
 */
export interface PublishedState {
  items: PublishedItems;
  /** Receives what this VM reads from the platform. */
  sink: PublishedSink;
  /** Current configuration; undefined until one has been received. */
  index(): ConfigurationIndex | undefined;
  /** The item of the current configuration. */
  configurationItem(): PublishedItem | undefined;
  /** Time since the latest revision was confirmed to this VM or a peer, in ms. */
  confirmedAgeMs(): number;
  /** What this VM's heartbeats report about reads of the platform. */
  platformReads(): PlatformReads;
  /** Confirms the revision, or pulls what the sender knows. */
  onHeartbeat(member: Member): void;
  onItems(member: Member, push: PushedItems): void;
  /** Cancels the pulls that have not begun. */
  close(): void;
}

/** Dependencies of the published state. */
export interface PublishedStateOptions {
  clock: Clock;
  log: EventLog;
  decode: DecodeItem;
  registry: Registry;
  network: Pick<
    PeerNetwork,
    "pushItems" | "sendHeartbeatNow" | "hasStoreReaders" | "isStoreReader"
  >;
  /** Port at which peers serve what they know. */
  port: number;
  /** Time within which expired entries are back after an outage, in ms. */
  entriesBackMs(): number;
  /** Time after which a leaving upstream must get no more requests, in ms. */
  drainMs: number;
  onConfiguration(configuration: Configuration): void;
  /** The position has advanced. */
  onAdvanced(): void;
}

/** Delay before newer items are pulled from a peer, in milliseconds. */
const PULL_DELAY_MS = 60;
/**
 * Part of `drainMs` in which a VM that relies on its peers reads the platform
 * itself, in milliseconds.
 */
const OWN_READ_MS = 600;
/**
 * Time for which a data centre stays out of service that a restored platform no
 * longer lists as out, in milliseconds, unless it is listed again.
 */
const RESTORED_OUT_MS = 10_000;

/** Creates the state, which is empty at first. */
export function createPublishedState(
  options: PublishedStateOptions,
): PublishedState {
  const { clock, log, decode, registry, network, port } = options;
  const { entriesBackMs, drainMs, onConfiguration, onAdvanced } = options;
  const published = createPublishedItems();
  const grace = createRemovalGrace({ clock, entriesBackMs });
  let isPulling = false;
  let timers: CancelTimer[] = [];
  let index: ConfigurationIndex | undefined;
  /** The item of `index`; after a restore, `published` may have an older one. */
  let configurationItem: PublishedItem | undefined;
  /** Highest version that this VM has pulled on its own, accepted or not. */
  let pulledVersion = 0;
  /**
   * Time at which the platform last confirmed to this VM or a peer that
   * `published.head()` is the latest revision.
   */
  let confirmedMs = -Infinity;
  let isPlatformLost = false;
  let lostSinceMs = -Infinity;

  function applyChanges(changes: PublishedChanges, from: string): void {
    const before = published.position();
    const changed = published.apply(changes);
    const isRestored = before.revision > 0 && published.era() > before.era;
    if (isRestored) onRestored(before, from);
    // What came and left since the former state is not listed.
    if (changes.isWhole) registry.versions.onGap();
    for (const item of changed) {
      try {
        applyItem(item, { from, isRestored });
      } catch (error) {
        refuse(item, (error as Error).message);
      }
    }
    if (comparePositions(published.position(), before) > 0) {
      onAdvanced();
    }
  }

  /** Applies a changed item; throws for one that is malformed. */
  function applyItem(
    item: PublishedItem,
    { from, isRestored }: { from: string; isRestored: boolean },
  ): void {
    const decoded = decode(item);
    if (!decoded) return;
    if (decoded.kind === DecodedItemKind.Configuration) {
      if (decoded.value) acceptConfiguration(decoded.value, item, from);
    } else if (decoded.kind === DecodedItemKind.DataCentreOut) {
      const { dataCentre, isOut } = decoded;
      const keepMs = isRestored ? RESTORED_OUT_MS : 0;
      registry.setDataCentre(dataCentre, isOut, keepMs);
    } else if (decoded.refusal !== undefined) {
      refuse(item, decoded.refusal);
      // It has not expired: what it named before is not kept.
      registry.refuse(decoded.id, from);
    } else if (!decoded.value) {
      registry.remove(decoded.id, { keepMs: grace.keepMs(), from });
    } else if (isRestored) setRestoredUpstream(decoded.value);
    else registry.set(decoded.id, decoded.value, from);
  }

  function refuse({ key, revision }: PublishedItem, reason: string): void {
    log.warn(LogEvent.ItemRefused, { key, revision, reason });
  }

  /** The platform, or a peer that read it, was found in a newer era. */
  function onRestored(before: PublishedPosition, from: string): void {
    // Entries that the restored copy lacks count like those that expired while
    // the platform was unreachable.
    grace.onRestored();
    log.warn(LogEvent.PlatformRestored, {
      fromEra: before.era,
      era: published.era(),
      fromRevision: before.revision,
      revision: published.head(),
      from,
    });
  }

  /** An upstream never stops draining: a restored entry may be from before. */
  function setRestoredUpstream(entry: UpstreamEntry): void {
    const known = registry.find(entry.id)?.entry;
    const isSameRun = known?.startedMs === entry.startedMs &&
      known?.host === entry.host && known?.port === entry.port;
    const isDraining = entry.isDraining ||
      (isSameRun && known?.isDraining === true);
    registry.set(entry.id, { ...entry, isDraining });
  }

  function acceptConfiguration(
    configuration: Configuration,
    item: PublishedItem,
    from: string,
  ): void {
    if (index && configuration.version < index.configuration.version) return;
    index = createConfigurationIndex(configuration);
    configurationItem = item;
    registry.setServices(index.findService);
    onConfiguration(configuration);
    log.info(LogEvent.ConfigurationAccepted, {
      version: configuration.version,
      revision: item.revision,
      routes: configuration.routes.length,
      from,
    });
  }

  /** Removes kept upstreams once it is known that no entry has expired. */
  function endGraceIfRefuted(): void {
    if (grace.keepMs() === 0) registry.dropRemoved();
  }

  const sink = {
    head: () => published.head(),
    era: () => published.era(),
    onResponse(changes: PublishedChanges) {
      if (isPlatformLost) {
        isPlatformLost = false;
        log.info(LogEvent.PlatformRegained, {
          revision: changes.head,
          lostMs: Math.round(clock.now() - lostSinceMs),
        });
      }
      grace.onRead();
      endGraceIfRefuted();
      const after = published.head();
      applyChanges(changes, "platform");
      confirmedMs = clock.now();
      if (changes.items.length === 0 && !changes.isWhole) return;
      if (!changes.isWhole) {
        const { steadyReadAgeMs } = grace.reads();
        const keepRemovedMs = Math.round(grace.keepMs());
        network.pushItems({
          ...changes,
          after,
          steadyReadAgeMs,
          keepRemovedMs,
        });
      }
      network.sendHeartbeatNow();
    },
    canPause: () =>
      network.hasStoreReaders() && index !== undefined &&
      !network.isStoreReader() &&
      clock.now() - confirmedMs < drainMs - OWN_READ_MS,
    onItemRefused: (reason: string) =>
      log.warn(LogEvent.ItemRefused, { reason }),
    onReadError(reason: string) {
      grace.onReadFailed();
      if (isPlatformLost) return;
      isPlatformLost = true;
      lostSinceMs = clock.now();
      log.warn(LogEvent.PlatformLost, { reason, revision: published.head() });
    },
  };

  /**
   * Pulls a configuration that a restored platform has lost: a VM that started
   * afterwards knows only the older one in the restored copy.
   */
  async function pullLostConfiguration(
    { host }: Member,
    version: number,
  ): Promise<void> {
    isPulling = true;
    try {
      const item = await pullConfiguration({ host, port });
      pulledVersion = version;
      const decoded = decode(item);
      if (decoded?.kind !== DecodedItemKind.Configuration) return;
      if (decoded.value) acceptConfiguration(decoded.value, item, host);
    } catch (error) {
      logPullFailure(host, error as Error);
    } finally {
      isPulling = false;
    }
  }

  function logPullFailure(peer: string, { message }: Error): void {
    const what = "pull from a peer";
    log.warn(LogEvent.Failure, { what, peer, reason: message });
  }

  /** Position of published state that a member's last heartbeat reported. */
  function positionOf({ heartbeat }: Member): PublishedPosition {
    return { era: heartbeat.era ?? 0, revision: heartbeat.revision };
  }

  function pull(member: Member): void {
    isPulling = true;
    // The platform's own response usually arrives within the delay.
    const delayMs = index ? PULL_DELAY_MS : 0;
    timers.push(clock.after(delayMs, async () => {
      try {
        const before = published.position();
        if (comparePositions(positionOf(member), before) <= 0) return;
        const changes = await pullPublished(
          { host: member.host, port: port },
          before.revision,
          before.era,
        );
        log.info(LogEvent.PulledFromPeer, {
          peer: member.host,
          after: before.revision,
          era: changes.era ?? 0,
          revision: changes.head,
          items: changes.items.length,
        });
        applyChanges(changes, member.host);
      } catch (error) {
        logPullFailure(member.host, error as Error);
      } finally {
        isPulling = false;
      }
    }));
  }

  function onHeartbeat(member: Member): void {
    const { heartbeat } = member;
    const order = comparePositions(positionOf(member), published.position());
    if (order === 0 && index) {
      confirmedMs = Math.max(
        confirmedMs,
        clock.now() - heartbeat.confirmedAgeMs,
      );
    }
    applyPeerReads(heartbeat);
    if (isPulling) return;
    const version = heartbeat.configurationVersion ?? 0;
    const ownVersion = Math.max(
      index?.configuration.version ?? 0,
      pulledVersion,
    );
    if (order > 0) pull(member);
    else if (version > ownVersion) void pullLostConfiguration(member, version);
  }

  /** Applies what a heartbeat or push says about reads of the platform. */
  function applyPeerReads(
    { steadyReadAgeMs = Infinity, keepRemovedMs = 0 }: Partial<PlatformReads>,
  ): void {
    grace.onPeerReads({ steadyReadAgeMs, keepRemovedMs });
    endGraceIfRefuted();
  }

  function onItems(member: Member, push: PushedItems): void {
    applyPeerReads(push);
    if ((push.era ?? 0) !== published.era()) return;
    // After a gap, everything missing is pulled when a heartbeat announces it.
    if (push.after > published.head() || push.head <= published.head()) return;
    applyChanges(push, member.host);
  }

  return {
    items: published,
    sink,
    index: () => index,
    configurationItem: () => configurationItem,
    confirmedAgeMs: () => clock.now() - confirmedMs,
    platformReads: grace.reads,
    onHeartbeat,
    onItems,
    close() {
      for (const cancel of timers) cancel();
      timers = [];
    },
  };
}
