/** Priority queue from which any item can be removed. */
export interface Heap<Item> {
  add(item: Item): void;
  /** Removes an item; returns whether it was in the heap. */
  remove(item: Item): boolean;
  /** Returns the first item without removing it. */
  peek(): Item | undefined;
  /** Returns the first item in order that `accept` returns true for. */
  findFirst(accept: (item: Item) => boolean): Item | undefined;
  size(): number;
}

/** Creates a binary heap; `isBefore` must be a strict order of its items. */
export function createHeap<Item>(
  isBefore: (left: Item, right: Item) => boolean,
): Heap<Item> {
  const items: Item[] = [];
  const indices = new Map<Item, number>();

  function put(item: Item, index: number): void {
    items[index] = item;
    indices.set(item, index);
  }

  function siftUp(item: Item, from: number): void {
    let index = from;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(item, items[parent])) break;
      put(items[parent], index);
      index = parent;
    }
    put(item, index);
  }

  function siftDown(item: Item, from: number): void {
    let index = from;
    while (true) {
      let child = index * 2 + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (right < items.length && isBefore(items[right], items[child])) {
        child = right;
      }
      if (!isBefore(items[child], item)) break;
      put(items[child], index);
      index = child;
    }
    put(item, index);
  }

  return {
    add(item) {
      items.push(item);
      siftUp(item, items.length - 1);
    },
    remove(item) {
      const index = indices.get(item);
      if (index === undefined) return false;
      indices.delete(item);
      const last = items.pop()!;
      if (index === items.length) return true;
      siftDown(last, index);
      siftUp(last, indices.get(last)!);
      return true;
    },
    peek: () => items[0],
    findFirst(accept) {
      let best: Item | undefined;
      const unvisited = [0];
      for (
        let index = unvisited.pop();
        index !== undefined;
        index = unvisited.pop()
      ) {
        const item = items[index];
        if (index >= items.length) continue;
        if (best !== undefined && !isBefore(item, best)) continue;
        if (accept(item)) best = item;
        else unvisited.push(index * 2 + 1, index * 2 + 2);
      }
      return best;
    },
    size: () => items.length,
  };
}
