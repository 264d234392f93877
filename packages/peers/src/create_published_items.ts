import { Buffer } from "node:buffer";

/** An item that the platform publishes, or its removal. */
export interface PublishedItem {
  key: string;
  /** Revision of its last change, within the era of the state it is part of. */
  revision: number;
  /** `undefined` for a removal. */
  value: Uint8Array | undefined;
}

/** Items changed since a revision, or all items. */
export interface PublishedChanges {
  /**
   * Era of all revisions; rises when the platform is restored from an older
   * copy, after which revisions go back. 0 if missing.
   */
  era?: number;
  /** Revision up to which `items` has every change. */
  head: number;
  /** Whether `items` is the complete state: any other item is removed. */
  isWhole: boolean;
  items: PublishedItem[];
}

/** Position in the history of published state: by era, then by revision. */
export interface PublishedPosition {
  era: number;
  revision: number;
}

/** Negative if `left` is before `right`, 0 if equal, otherwise positive. */
export function comparePositions(
  left: PublishedPosition,
  right: PublishedPosition,
): number {
  return left.era - right.era || left.revision - right.revision;
}

/** Removals beyond which the oldest `MAX_REMOVALS / 2` are dropped. */
const MAX_REMOVALS = 2000;

/** This VM's copy of the items that the platform publishes. */
export interface PublishedItems {
  /** Highest revision applied in the current era, 0 at first. */
  head(): number;
  /** Era of the items, 0 at first. */
  era(): number;
  /** Era and head. */
  position(): PublishedPosition;
  /**
   * Applies changes and returns the items that changed. Changes may be late or
   * repeated, but must include every change after `head()`: missing ones go
   * unnoticed, as `head()` moves on. An item never returns to an earlier
   * revision within an era. The removal of an item that was never received is
   * returned too.
   *
   * Changes of an older era are ignored. The complete state of a newer era
   * replaces all items, also at lower revisions; other changes of a newer era
   * are ignored, as they have a gap.
   */
  apply(changes: PublishedChanges): PublishedItem[];
  /**
   * Changes after `revision` of the era `ofEra`, by default the current one;
   * the complete state for revision 0 or another era, or if removals after
   * `revision` have been dropped.
   */
  since(revision: number, ofEra?: number): PublishedChanges;
}

/** Creates a copy without items, at revision 0. */
export function createPublishedItems(): PublishedItems {
  let items = new Map<string, PublishedItem>();
  let era = 0;
  let head = 0;
  /** Highest revision of a dropped removal in the current era. */
  let cutoff = 0;

  function dropOldRemovals(): void {
    const removals = [];
    for (const item of items.values()) {
      if (!item.value) removals.push(item);
    }
    if (removals.length <= MAX_REMOVALS) return;
    removals.sort((left, right) => left.revision - right.revision);
    removals.length = Math.ceil(MAX_REMOVALS / 2);
    for (const removal of removals) {
      items.delete(removal.key);
      cutoff = Math.max(cutoff, removal.revision);
    }
  }

  /** Starts a newer era with its complete state; returns what changed. */
  function replaceAll(changes: PublishedChanges): PublishedItem[] {
    const previous = items;
    const changed: PublishedItem[] = [];
    items = new Map();
    era = changes.era ?? 0;
    head = changes.head;
    // Removals up to the head are known only for the previous era's items.
    cutoff = head;
    for (const item of changes.items) {
      items.set(item.key, item);
      const before = previous.get(item.key)?.value;
      if (!hasSameValue(before, item.value)) changed.push(item);
    }
    for (const [key, { value }] of previous) {
      if (!value || items.has(key)) continue;
      const removal = { key, revision: head, value: undefined };
      items.set(key, removal);
      changed.push(removal);
    }
    return changed;
  }

  return {
    head: () => head,
    era: () => era,
    position: () => ({ era, revision: head }),
    apply(changes) {
      const changesEra = changes.era ?? 0;
      if (changesEra < era) return [];
      if (changesEra > era) return changes.isWhole ? replaceAll(changes) : [];
      const changed: PublishedItem[] = [];
      const listedKeys = new Set<string>();
      for (const item of changes.items) {
        listedKeys.add(item.key);
        const current = items.get(item.key);
        if (current && current.revision >= item.revision) continue;
        // If its removal was dropped, an older value must not restore the item.
        if (!current && item.revision <= cutoff && !changes.isWhole) continue;
        items.set(item.key, item);
        const isRepeatedRemoval = current && !current.value && !item.value;
        if (!isRepeatedRemoval) changed.push(item);
      }
      if (changes.isWhole) {
        for (const [key, current] of items) {
          if (listedKeys.has(key) || !current.value) continue;
          if (current.revision > changes.head) continue;
          const removal = { key, revision: changes.head, value: undefined };
          items.set(key, removal);
          changed.push(removal);
        }
        // Earlier removals of items that were never known are not listed.
        cutoff = Math.max(cutoff, changes.head);
      }
      head = Math.max(head, changes.head);
      dropOldRemovals();
      return changed;
    },
    since(revision, ofEra = era) {
      const isWhole = ofEra !== era || revision < cutoff || revision === 0;
      const list: PublishedItem[] = [];
      for (const item of items.values()) {
        if (isWhole ? item.value : item.revision > revision) list.push(item);
      }
      return { era, head, isWhole, items: list };
    },
  };
}

function hasSameValue(
  left: Uint8Array | undefined,
  right: Uint8Array | undefined,
): boolean {
  if (!left || !right) return left === right;
  return Buffer.compare(left, right) === 0;
}
