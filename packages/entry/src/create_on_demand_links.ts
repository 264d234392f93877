import {
  type Link,
  type LinkIdentity,
  type Message,
  openLink,
} from "@rosemarytiller/link";
import {
  type CancelTimer,
  type Clock,
  LogPart,
  useLog,
} from "@rosemarytiller/shared";

/** Time after the last message to a VM until its link is closed. */
export const IDLE_LINK_MS = 10_000;
/** Maximum time that a message waits for its link to open. */
export const SEND_TIMEOUT_MS = 5000;

/** Links to brokers that are opened on demand and closed when idle. */
export interface OnDemandLinks {
  /**
   * Sends a message to a VM's broker, over a new link if none is open. Drops it
   * if the link doesn't open within `SEND_TIMEOUT_MS`.
   */
  send(vm: string, envelope: { address: string; message: Message }): void;
  close(): void;
}

/** Dependencies of on-demand links. */
export interface OnDemandLinksOptions {
  identity: LinkIdentity;
  clock: Clock;
  /** Called for each message that the broker of a VM sends. */
  onMessage(message: Message, vm: string): void;
}

interface OnDemandLink {
  link: Promise<Link>;
  cancelIdleTimer: CancelTimer;
}

/** Creates an empty set of links. */
export function createOnDemandLinks(
  options: OnDemandLinksOptions,
): OnDemandLinks {
  const { identity, clock, onMessage } = options;
  const links = new Map<string, OnDemandLink>();

  function drop(vm: string, entry: OnDemandLink): void {
    entry.cancelIdleTimer();
    if (links.get(vm) === entry) links.delete(vm);
    entry.link.then((link) => link.close(), () => {});
  }

  function linkTo(vm: string, address: string): OnDemandLink {
    const found = links.get(vm);
    if (found) {
      found.cancelIdleTimer();
      found.cancelIdleTimer = clock.after(IDLE_LINK_MS, () => drop(vm, found));
      return found;
    }
    const entry: OnDemandLink = {
      link: openLink(address, identity, { clock }),
      cancelIdleTimer: clock.after(IDLE_LINK_MS, () => drop(vm, entry)),
    };
    links.set(vm, entry);
    void serve(vm, entry);
    return entry;
  }

  async function serve(vm: string, entry: OnDemandLink): Promise<void> {
    try {
      const link = await entry.link;
      await link.messages.observe((message) => onMessage(message, vm));
    } catch (error) {
      const reason = (error as Error).message;
      useLog(LogPart.Claims).debug(`No link to ${vm}: ${reason}`);
    }
    drop(vm, entry);
  }

  return {
    send(vm, { address, message }) {
      const untilMs = clock.now() + SEND_TIMEOUT_MS;
      linkTo(vm, address).link.then((link) => {
        // A message delayed by a suspension or a network failure is obsolete.
        if (clock.now() <= untilMs) link.send(message);
      }, () => {});
    },
    close() {
      for (const [vm, entry] of links) drop(vm, entry);
    },
  };
}
