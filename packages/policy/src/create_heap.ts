/** Items of which the first in order is found at once. */
export interface Heap<Item> {
  add(item: Item): void;
  /** Removes an item; returns whether it was there. */
  remove(item: Item): boolean;
  /** The first item, which stays. */
  peek(): Item | undefined;
  /** The first item in order that `accept` takes. */
  findFirst(accept: (item: Item) => boolean): Item | undefined;
  size(): number;
}

/** Creates a binary heap from which any item can be removed. */
export function createHeap<Item>(
  isBefore: (left: Item, right: Item) => boolean,
): Heap<Item> {
  const items: Item[] = [];
  const places = new Map<Item, number>();

  function put(item: Item, place: number): void {
    items[place] = item;
    places.set(item, place);
  }

  function rise(item: Item, from: number): void {
    let place = from;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (!isBefore(item, items[parent])) break;
      put(items[parent], place);
      place = parent;
    }
    put(item, place);
  }

  function sink(item: Item, from: number): void {
    let place = from;
    while (true) {
      let child = place * 2 + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (right < items.length && isBefore(items[right], items[child])) {
        child = right;
      }
      if (!isBefore(items[child], item)) break;
      put(items[child], place);
      place = child;
    }
    put(item, place);
  }

  return {
    add(item) {
      items.push(item);
      rise(item, items.length - 1);
    },
    remove(item) {
      const place = places.get(item);
      if (place === undefined) return false;
      places.delete(item);
      const last = items.pop()!;
      if (place === items.length) return true;
      sink(last, place);
      rise(last, places.get(last)!);
      return true;
    },
    peek: () => items[0],
    findFirst(accept) {
      let best: Item | undefined;
      const places = [0];
      for (
        let place = places.pop();
        place !== undefined;
        place = places.pop()
      ) {
        const item = items[place];
        if (place >= items.length) continue;
        if (best !== undefined && !isBefore(item, best)) continue;
        if (accept(item)) best = item;
        else places.push(place * 2 + 1, place * 2 + 2);
      }
      return best;
    },
    size: () => items.length,
  };
}
