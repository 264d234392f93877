/** An item that the platform publishes, or its removal. */
export interface PublishedItem {
  key: string;
  /** Revision of its last change. */
  revision: number;
  /** Nothing after its removal. */
  value: Uint8Array | undefined;
}

/** Items changed since a revision. */
export interface PublishedChanges {
  /** Revision up to which the items are known. */
  head: number;
  /** Whether `items` is the whole state; what it lacks does not exist. */
  isWhole: boolean;
  items: PublishedItem[];
}

/** Removals that are remembered at most. */
const MAX_REMOVALS = 2000;

/** All that the platform publishes, as far as it is known here. */
export interface PublishedItems {
  head(): number;
  /** Takes changes; an item never goes back to an earlier revision. */
  apply(changes: PublishedChanges): PublishedItem[];
  /** Changes for a reader who knows everything up to `revision`. */
  since(revision: number): PublishedChanges;
}

/** Creates an empty state. */
export function createPublishedItems(): PublishedItems {
  const items = new Map<string, PublishedItem>();
  let head = 0;
  /** Removals up to this revision are forgotten. */
  let forgotten = 0;

  function trim(): void {
    const removals = [];
    for (const item of items.values()) {
      if (!item.value) removals.push(item);
    }
    if (removals.length <= MAX_REMOVALS) return;
    removals.sort((left, right) => left.revision - right.revision);
    removals.length = Math.ceil(MAX_REMOVALS / 2);
    for (const removal of removals) {
      items.delete(removal.key);
      forgotten = Math.max(forgotten, removal.revision);
    }
  }

  return {
    head: () => head,
    apply(changes) {
      const changed: PublishedItem[] = [];
      const named = new Set<string>();
      for (const item of changes.items) {
        named.add(item.key);
        const held = items.get(item.key);
        if (held && held.revision >= item.revision) continue;
        // A removal that was forgotten must not let an old value return.
        if (!held && item.revision <= forgotten && !changes.isWhole) continue;
        items.set(item.key, item);
        if (held?.value || item.value) changed.push(item);
      }
      if (changes.isWhole) {
        for (const [key, held] of items) {
          if (named.has(key) || !held.value) continue;
          if (held.revision > changes.head) continue;
          const removal = { key, revision: changes.head, value: undefined };
          items.set(key, removal);
          changed.push(removal);
        }
      }
      head = Math.max(head, changes.head);
      trim();
      return changed;
    },
    since(revision) {
      const isWhole = revision < forgotten || revision === 0;
      const list: PublishedItem[] = [];
      for (const item of items.values()) {
        if (isWhole ? item.value : item.revision > revision) list.push(item);
      }
      return { head, isWhole, items: list };
    },
  };
}
