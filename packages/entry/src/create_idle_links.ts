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

/** Time without a message after which a link is closed. */
export const IDLE_LINK_MS = 10_000;
/** Longest time for which a message waits for its link. */
export const SEND_TIMEOUT_MS = 5000;

/** Links that are opened for a message and closed when idle. */
export interface IdleLinks {
  /** Sends to a VM's broker; gives up after a time. */
  send(vm: string, mail: { address: string; message: Message }): void;
  close(): void;
}

/** What the links need. */
export interface IdleLinksOptions {
  identity: LinkIdentity;
  clock: Clock;
  onMessage(message: Message, vm: string): void;
}

interface IdleLink {
  link: Promise<Link>;
  cancelIdle: CancelTimer;
}

/** Creates an empty set of links. */
export function createIdleLinks(options: IdleLinksOptions): IdleLinks {
  const { identity, clock, onMessage } = options;
  const open = new Map<string, IdleLink>();

  function drop(vm: string, idle: IdleLink): void {
    idle.cancelIdle();
    if (open.get(vm) === idle) open.delete(vm);
    idle.link.then((link) => link.close(), () => {});
  }

  function linkTo(vm: string, address: string): IdleLink {
    const found = open.get(vm);
    if (found) {
      found.cancelIdle();
      found.cancelIdle = clock.after(IDLE_LINK_MS, () => drop(vm, found));
      return found;
    }
    const idle: IdleLink = {
      link: openLink(address, identity, { clock }),
      cancelIdle: clock.after(IDLE_LINK_MS, () => drop(vm, idle)),
    };
    open.set(vm, idle);
    void serve(vm, idle);
    return idle;
  }

  async function serve(vm: string, idle: IdleLink): Promise<void> {
    try {
      const link = await idle.link;
      await link.messages.observe((message) => onMessage(message, vm));
    } catch (error) {
      const reason = (error as Error).message;
      useLog(LogPart.Claims).debug(`No link to ${vm}: ${reason}`);
    }
    drop(vm, idle);
  }

  return {
    send(vm, { address, message }) {
      const untilMs = clock.now() + SEND_TIMEOUT_MS;
      linkTo(vm, address).link.then((link) => {
        // A message that waited out a pause or a cut is of no use any more.
        if (clock.now() <= untilMs) link.send(message);
      }, () => {});
    },
    close() {
      for (const [vm, idle] of open) drop(vm, idle);
    },
  };
}
