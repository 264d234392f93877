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
   * Sends a message over the link to a VM's broker, which is opened if there is
   * none. Drops the message if the link is not open within `SEND_TIMEOUT_MS`.
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

  function drop(vm: string, onDemandLink: OnDemandLink): void {
    onDemandLink.cancelIdleTimer();
    if (links.get(vm) === onDemandLink) links.delete(vm);
    onDemandLink.link.then((link) => link.close(), () => {});
  }

  function linkTo(vm: string, address: string): OnDemandLink {
    const found = links.get(vm);
    if (found) {
      found.cancelIdleTimer();
      found.cancelIdleTimer = clock.after(IDLE_LINK_MS, () => drop(vm, found));
      return found;
    }
    const onDemandLink: OnDemandLink = {
      link: openLink(address, identity, { clock }),
      cancelIdleTimer: clock.after(IDLE_LINK_MS, () => drop(vm, onDemandLink)),
    };
    links.set(vm, onDemandLink);
    void receiveMessages(vm, onDemandLink);
    return onDemandLink;
  }

  async function receiveMessages(
    vm: string,
    onDemandLink: OnDemandLink,
  ): Promise<void> {
    try {
      const link = await onDemandLink.link;
      await link.messages.observe((message) => onMessage(message, vm));
    } catch (error) {
      const reason = (error as Error).message;
      useLog(LogPart.Claims).debug(`No link to ${vm}: ${reason}`);
    }
    drop(vm, onDemandLink);
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
      for (const [vm, onDemandLink] of links) drop(vm, onDemandLink);
    },
  };
}
