import type { Clock } from "@rosemarytiller/shared";
import { Packr } from "msgpackr";
import { randomInt } from "node:crypto";
import { createSocket, type Socket } from "node:dgram";
import {
  type Beat,
  decodeBeat,
  decodeLoadEvent,
  encodeBeat,
  encodeLoadEvent,
  type LoadEvent,
  type PeerMessage,
  PeerMessageKind,
  type PushedItems,
} from "./peer_messages.ts";

/** Time between two beats of a small fleet, in milliseconds. */
export const BEAT_MS = 200;
/** Additional time between beats for each member, bounds the datagram rate. */
const BEAT_MS_PER_MEMBER = 4;
/** Time without a beat after which a member counts as away, in beats. */
const AWAY_BEATS = 5;
/** Time for which a silent member still counts for shares, in ms. */
export const FORGET_MS = 30_000;
/** Members up to which every VM tells all others of its calls. */
const MAX_FULL_MEMBERS = 24;
/** VMs of a data centre that read the platform themselves. */
const READERS = 2;
/** Beats without which a reader is taken to be away. */
const READER_BEATS = 2.5;
/** Members of other data centres that get each beat of a larger fleet. */
const FAR_BEATS = 4;
/** Time for which load events are gathered into one datagram, in ms. */
const GATHER_MS = 3;
/** Additional gathering time for each member, bounds the datagram rate. */
const GATHER_MS_PER_MEMBER = 0.5;
/** Size of a datagram that passes any link unsplit, in bytes. */
const MAX_DATAGRAM_BYTES = 1300;
/** Hosts named in a beat at most. */
const MAX_NAMED_MEMBERS = 24;

/** Another VM as this one knows it. */
export interface Member {
  host: string;
  dataCentre: string;
  /** Distinguishes the runs of the member's process. */
  run: number;
  heardMs: number;
  beat: Beat;
}

/** What is heard from others. */
export interface PeerListener {
  onBeat(member: Member): void;
  onLoad(member: Member, events: LoadEvent[]): void;
  /** Changes of published items from `after` on. */
  onItems(member: Member, push: PushedItems): void;
  /** The member's process started anew: its earlier calls are gone. */
  onRestart(host: string): void;
  onMembership(
    change: { host: string; present: boolean; members: number },
  ): void;
}

/** Membership and load exchange between the VMs, by datagrams. */
export interface PeerNetwork {
  start(listener: PeerListener): Promise<void>;
  /**
   * Tells soon all members, or in a large fleet those of the data centre of
   * the upstream that the event is about.
   */
  tell(event: LoadEvent, dataCentre?: string): void;
  /** Sends changes of published items to this data centre's members. */
  pushItems(push: PushedItems): void;
  /** Tells what is gathered and beats at once. */
  beatNow(): void;
  /** Whether this VM is one of its data centre's readers of the platform. */
  isReader(): boolean;
  /** Whether the fleet is so large that each data centre keeps to itself. */
  isLarge(): boolean;
  /** VMs of this data centre heard within `FORGET_MS`, this one included. */
  nearCount(): number;
  /** VMs heard lately, this one included. */
  presentCount(): number;
  /** VMs heard within `FORGET_MS`, this one included. */
  knownCount(): number;
  close(): void;
}

/** What the network needs. */
export interface PeerNetworkOptions {
  clock: Clock;
  host: string;
  port: number;
  dataCentre: string;
  /** Hosts to begin with; they may be away. */
  seeds(): readonly string[];
  /** State to tell in each beat. */
  describe(): Pick<Beat, "revision" | "confirmedAgeMs" | "calls">;
}

const packr = new Packr({ useRecords: false });

/** Creates the network; `start` binds its socket. */
export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
  const { clock, host, port, dataCentre, seeds, describe } = options;
  const run = randomInt(2 ** 32);
  const members = new Map<string, Member>();
  const presentHosts = new Set<string>();
  /** Hosts that were only named by others, with the time of the naming. */
  const rumoured = new Map<string, number>();
  /** Events to be sent, by data centre; an empty name stands for all. */
  const gathered = new Map<string, LoadEvent[]>();
  let gatherTimer: (() => void) | undefined;
  let beatTimer: (() => void) | undefined;
  let listener: PeerListener | undefined;
  let socket: Socket | undefined;
  /** Counts through the far members, which get beats by turns. */
  let farTurn = 0;

  const isLarge = () => members.size > MAX_FULL_MEMBERS;
  const beatMs = () => BEAT_MS + BEAT_MS_PER_MEMBER * members.size;

  function send(message: PeerMessage, hosts: Iterable<string>): void {
    const bytes = packr.pack(message);
    // A datagram that can't be sent is lost like one on the way.
    for (const to of hosts) socket?.send(bytes, port, to, () => {});
  }

  function targets(): Set<string> {
    const hosts = new Set<string>(members.keys());
    for (const seed of seeds()) hosts.add(seed);
    for (const name of rumoured.keys()) hosts.add(name);
    hosts.delete(host);
    return hosts;
  }

  function beat(): void {
    beatTimer?.();
    // A greeting may still be due when the network is closed.
    if (!socket) return;
    beatTimer = clock.after(beatMs(), beat);
    sweep();
    const state = { dataCentre, members: [...presentHosts], ...describe() };
    state.members.length = Math.min(state.members.length, MAX_NAMED_MEMBERS);
    send([PeerMessageKind.Beat, run, encodeBeat(state)], beatTargets());
  }

  /** All members; in a large fleet the near ones and some others by turns. */
  function beatTargets(): Iterable<string> {
    if (!isLarge()) return targets();
    const near: string[] = [];
    const far: string[] = [];
    for (const name of targets()) {
      const isNear = members.get(name)?.dataCentre === dataCentre;
      (isNear ? near : far).push(name);
    }
    for (let count = 0; count < Math.min(FAR_BEATS, far.length); count++) {
      near.push(far[farTurn++ % far.length]!);
    }
    return near;
  }

  function* hostsOf(place: string): Iterable<string> {
    for (const member of members.values()) {
      if (place === "" || member.dataCentre === place) yield member.host;
    }
  }

  /** Time after which a silent member counts as away. */
  function awayMs(member: Member): number {
    const isFar = isLarge() && member.dataCentre !== dataCentre;
    const beats = AWAY_BEATS * (isFar ? members.size / FAR_BEATS : 1);
    return Math.min(FORGET_MS, beatMs() * beats);
  }

  function sweep(): void {
    const nowMs = clock.now();
    for (const [name, sinceMs] of rumoured) {
      if (nowMs - sinceMs > FORGET_MS) rumoured.delete(name);
    }
    for (const member of members.values()) {
      const silentMs = nowMs - member.heardMs;
      if (silentMs > awayMs(member)) setPresent(member.host, false);
      if (silentMs > FORGET_MS) members.delete(member.host);
    }
  }

  function setPresent(name: string, present: boolean): void {
    if (presentHosts.has(name) === present) return;
    if (present) presentHosts.add(name);
    else presentHosts.delete(name);
    listener?.onMembership({
      host: name,
      present,
      members: presentHosts.size + 1,
    });
  }

  function flush(): void {
    gatherTimer?.();
    gatherTimer = undefined;
    for (const [place, events] of gathered) sendEvents(place, events);
    gathered.clear();
  }

  function sendEvents(place: string, events: readonly LoadEvent[]): void {
    const hosts = [...hostsOf(place)];
    for (const batch of inDatagrams(events.map(encodeLoadEvent))) {
      send([PeerMessageKind.Load, run, batch], hosts);
    }
  }

  function meet(from: string, messageRun: number): Member {
    let member = members.get(from);
    if (!member || member.run !== messageRun) {
      if (member) listener?.onRestart(from);
      member = {
        host: from,
        dataCentre: "",
        run: messageRun,
        heardMs: clock.now(),
        beat: {
          dataCentre: "",
          revision: 0,
          confirmedAgeMs: Infinity,
          members: [],
          calls: [],
        },
      };
      members.set(from, member);
      rumoured.delete(from);
      // A stranger learns of this VM at once, not at the next beat.
      if (!presentHosts.has(from)) setImmediate(beat);
    }
    member.heardMs = clock.now();
    setPresent(from, true);
    return member;
  }

  function receive(bytes: Uint8Array, from: string): void {
    if (from === host) return;
    let message: PeerMessage;
    try {
      message = packr.unpack(bytes) as PeerMessage;
    } catch {
      return;
    }
    if (!Array.isArray(message)) return;
    const [kind, messageRun, content] = message;
    const member = meet(from, messageRun);
    if (kind === PeerMessageKind.Load) {
      const events = [];
      for (const list of content as unknown[][]) {
        const event = decodeLoadEvent(list);
        if (event) events.push(event);
      }
      listener?.onLoad(member, events);
      return;
    }
    if (kind === PeerMessageKind.Items) {
      listener?.onItems(member, content as unknown as PushedItems);
      return;
    }
    if (kind !== PeerMessageKind.Beat) return;
    member.beat = decodeBeat(content);
    member.dataCentre = member.beat.dataCentre;
    for (const name of member.beat.members) {
      if (name === host || members.has(name) || rumoured.has(name)) continue;
      rumoured.set(name, clock.now());
    }
    listener?.onBeat(member);
  }

  return {
    async start(peerListener) {
      listener = peerListener;
      socket = createSocket("udp4");
      socket.on("message", (bytes, { address }) => receive(bytes, address));
      socket.on("error", () => {});
      await new Promise<void>((resolve, reject) => {
        socket!.once("error", reject);
        socket!.bind(port, host, resolve);
      });
      beat();
    },
    tell(event, place = "") {
      const name = isLarge() ? place : "";
      const events = gathered.get(name);
      if (events) events.push(event);
      else gathered.set(name, [event]);
      const told = isLarge() ? members.size / FAR_BEATS : members.size;
      gatherTimer ??= clock.after(
        GATHER_MS + GATHER_MS_PER_MEMBER * told,
        flush,
      );
    },
    pushItems(push) {
      const message: PeerMessage = [PeerMessageKind.Items, run, push];
      // What does not fit is asked for by those who see the beat.
      if (packr.pack(message).length > MAX_DATAGRAM_BYTES) return;
      send(message, hostsOf(isLarge() ? dataCentre : ""));
    },
    isReader() {
      const near = [host];
      const sinceMs = clock.now() - beatMs() * READER_BEATS;
      for (const member of members.values()) {
        if (member.dataCentre !== dataCentre) continue;
        if (member.heardMs >= sinceMs) near.push(member.host);
      }
      near.sort();
      return near.indexOf(host) < READERS;
    },
    isLarge,
    nearCount() {
      let count = 1;
      for (const member of members.values()) {
        if (member.dataCentre === dataCentre) count++;
      }
      return count;
    },
    beatNow() {
      flush();
      beat();
    },
    presentCount: () => presentHosts.size + 1,
    knownCount: () => members.size + 1,
    close() {
      beatTimer?.();
      gatherTimer?.();
      socket?.close();
      socket = undefined;
    },
  };
}

/** Parts a list so that each part passes any link in one datagram. */
function* inDatagrams<T>(items: readonly T[]): Iterable<T[]> {
  let batch: T[] = [];
  let bytes = 0;
  for (const item of items) {
    const size = packr.pack(item).length;
    if (bytes + size > MAX_DATAGRAM_BYTES && batch.length > 0) {
      yield batch;
      batch = [];
      bytes = 0;
    }
    batch.push(item);
    bytes += size;
  }
  if (batch.length > 0) yield batch;
}
