/** An item that the platform publishes, or its removal. */
export interface PublishedItem {
  key: string;
  /** Revision of its last change. */
  revision: number;
  /** `undefined` for a removal. */
  value: Uint8Array | undefined;
}

/** Items changed since a revision, or all items. */
export interface PublishedChanges {
  /** Revision up to which `items` has every change. */
  head: number;
  /** Whether `items` is the complete state: any other item is removed. */
  isWhole: boolean;
  items: PublishedItem[];
}

/** Removals beyond which the oldest `MAX_REMOVALS / 2` are dropped. */
const MAX_REMOVALS = 2000;

/** This VM's copy of the items that the platform publishes. */
export interface PublishedItems {
  /** Highest revision applied, 0 at first. */
  head(): number;
  /**
   * Applies changes and returns the items that changed. Changes may be late or
   * repeated, but must include every change after `head()`: missing ones go
   * unnoticed, as `head()` moves on. An item never returns to an earlier
   * revision.
   */
  apply(changes: PublishedChanges): PublishedItem[];
  /**
   * Changes after `revision`; the complete state for revision 0 or if removals
   * after `revision` have been dropped.
   */
  since(revision: number): PublishedChanges;
}

/** Creates a copy without items, at revision 0. */
export function createPublishedItems(): PublishedItems {
  const items = new Map<string, PublishedItem>();
  let head = 0;
  /** Highest revision of a dropped removal. */
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

  return {
    head: () => head,
    apply(changes) {
      const changed: PublishedItem[] = [];
      const listedKeys = new Set<string>();
      for (const item of changes.items) {
        listedKeys.add(item.key);
        const current = items.get(item.key);
        if (current && current.revision >= item.revision) continue;
        // If its removal was dropped, an older value must not restore the item.
        if (!current && item.revision <= cutoff && !changes.isWhole) continue;
        items.set(item.key, item);
        if (current?.value || item.value) changed.push(item);
      }
      if (changes.isWhole) {
        for (const [key, current] of items) {
          if (listedKeys.has(key) || !current.value) continue;
          if (current.revision > changes.head) continue;
          const removal = { key, revision: changes.head, value: undefined };
          items.set(key, removal);
          changed.push(removal);
        }
      }
      head = Math.max(head, changes.head);
      dropOldRemovals();
      return changed;
    },
    since(revision) {
      const isWhole = revision < cutoff || revision === 0;
      const list: PublishedItem[] = [];
      for (const item of items.values()) {
        if (isWhole ? item.value : item.revision > revision) list.push(item);
      }
      return { head, isWhole, items: list };
    },
  };
}
