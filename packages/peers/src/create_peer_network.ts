import {
  type Clock,
  readAny,
  readNumber,
  readText,
  soundElementsOf,
  tupleOf,
} from "@rosemarytiller/shared";
import { Packr } from "msgpackr";
import { randomInt } from "node:crypto";
import { createSocket, type Socket } from "node:dgram";
import type { SharedFact } from "./create_shared_facts.ts";
import {
  decodeHeartbeat,
  decodeLoadEvent,
  encodeHeartbeat,
  encodeLoadEvent,
  type Heartbeat,
  type KnownVms,
  type LoadEvent,
  LoadEventKind,
  type PeerMessage,
  PeerMessageKind,
  type PushedItems,
  readPush,
  type StreamStartedEvent,
} from "./peer_messages.ts";

/** Heartbeat interval of a small fleet, in milliseconds. */
export const HEARTBEAT_MS = 200;
/** Added to the interval for each member, to bound the datagram rate, in ms. */
const HEARTBEAT_MS_PER_MEMBER = 4;
/** Heartbeat intervals without a message that make a member unreachable. */
const MAX_MISSED_HEARTBEATS = 5;
/**
 * Time without a message after which a member is removed, in milliseconds; one
 * of another data centre of a large fleet later (`REMOTE_EXPIRY_ROUNDS`). Until then it counts towards the VMs that share a limit.
 */
export const MEMBER_EXPIRY_MS = 30_000;
/**
 * Time for which a VM counts as one of `sharingVms` after it has expired, in
 * ms: it may be cut off and use its part. One that has announced its stop does
 * not count.
 */
const REMEMBERED_MS = 600_000;
/** Shortest time in which a VM that starts is found by the others, in ms. */
const DISCOVERY_MS = 2000;
/** Interval at which `isFleetKnown` is computed at most, in milliseconds. */
const FLEET_CHECK_MS = 20;
/** Members beyond which a fleet is large: load events no longer go to all. */
const MAX_BROADCAST_MEMBERS = 24;
/** VMs of each data centre that always read the platform's store. */
const READERS_PER_DATA_CENTRE = 2;
/** Fewest VMs of a fleet in which some rely on the readers. */
const MIN_VMS_WITH_READERS = 12;
/** Heartbeat intervals without a message after which a member is no reader. */
const MAX_READER_MISSED_HEARTBEATS = 2.5;
/** Members of other data centres that a large fleet's heartbeat goes to. */
const REMOTE_HEARTBEAT_TARGETS = 4;
/**
 * Rounds of such heartbeats through all members without a message after which a
 * member of another data centre is unreachable, and after which it is removed.
 */
const REMOTE_UNREACHABLE_ROUNDS = 1.5;
const REMOTE_EXPIRY_ROUNDS = 3;
/** Members of each data centre that a large fleet's query goes to. */
const QUERIED_PER_DATA_CENTRE = 3;
/** Time for which load events are collected into a batch, in milliseconds. */
const BATCH_DELAY_MS = 3;
/** Added to that time for each member, to bound the datagram rate, in ms. */
const BATCH_DELAY_MS_PER_MEMBER = 0.5;
/** Size of a datagram's items, in bytes; no fragmentation at usual MTUs. */
const MAX_DATAGRAM_BYTES = 1300;
/** Time between two reports of refused messages, in milliseconds. */
const REFUSAL_INTERVAL_MS = 1000;
/** Maximum number of hosts listed in a heartbeat. */
const MAX_LISTED_MEMBERS = 24;

/** State of another VM, from the messages it sent. */
export interface Member {
  /** Address that its datagrams come from; identifies the VM. */
  host: string;
  /** Empty until its first heartbeat arrives. */
  dataCentre: string;
  /** Random number of its process; a new one shows a restart. */
  incarnation: number;
  /** Time of its last message on this VM's clock, in milliseconds. */
  lastMessageMs: number;
  /** Its last heartbeat; an empty one of revision 0 until it sends one. */
  heartbeat: Heartbeat;
  /** Time of its last heartbeat on this VM's clock, in milliseconds. */
  heartbeatMs: number;
}

/** Callbacks for messages and membership changes. */
export interface PeerListener {
  onHeartbeat(member: Member): void;
  onLoadEvents(member: Member, events: LoadEvent[]): void;
  /** Receives the changes of published items since revision `push.after`. */
  onItems(member: Member, push: PushedItems): void;
  /**
   * A VM asks which software version began the stream of the request `id`.
   * Returns the event to reply with, or undefined if it is not known.
   */
  onStreamQuery(id: string): StreamStartedEvent | undefined;
  /**
   * The process at the host is no more, as another one runs there or its member
   * was removed: its calls are lost.
   */
  onProcessLost(host: string): void;
  /**
   * A VM became reachable (`present`) or unreachable; `members` is the number
   * of reachable VMs, this one included.
   */
  onMembership(
    change: { host: string; present: boolean; members: number },
  ): void;
  /** A host sent what is no message; called once a second at most. */
  onRefused?(host: string, reason: string): void;
}

/** VMs that exchange load events with this one. */
export interface LoadFleet {
  /** Host of this VM. */
  own: string;
  /** Reachable hosts in string order, this one included. */
  reachable: readonly string[];
  /** Number of VMs that have not expired, this one included. */
  known: number;
}

/** VMs that share what an upstream of one data centre takes. */
export interface SharingVms {
  /** Host of this VM, which need not be among `hosts`. */
  own: string;
  /**
   * Hosts of all VMs, in a large fleet of those in the data centre; also of
   * those that are out of touch or expired `REMEMBERED_MS` ago at most.
   */
  hosts: readonly string[];
  /** Those of `hosts` that are in the data centre. */
  localHosts: ReadonlySet<string>;
}

/** Membership of the fleet and exchange of load between its VMs, over UDP. */
export interface PeerNetwork {
  /** Binds the socket and sends a heartbeat; rejects if the bind fails. */
  start(listener: PeerListener): Promise<void>;
  /**
   * Queues a load event, to be sent in a batch after a short delay. In a large
   * fleet it goes to the members of `dataCentre`, that of the event's upstream;
   * otherwise, or without `dataCentre`, to all members.
   */
  publishLoadEvent(event: LoadEvent, dataCentre?: string): void;
  /** Sends load events to the given hosts immediately. */
  sendLoadEvents(events: readonly LoadEvent[], hosts: readonly string[]): void;
  /** Queues a fact for all members; see `SharedFacts`. */
  publishFact(fact: SharedFact): void;
  /**
   * Sends changes of published items to all members, in a large fleet to those
   * of this data centre. Sends nothing if they exceed a datagram: members pull
   * them when a heartbeat shows the new revision.
   */
  pushItems(push: PushedItems): void;
  /**
   * Asks which software version began the stream of the request `id`; in a large
   * fleet, some random members of each data centre. Those that know it reply
   * with a load event.
   */
  queryStream(id: string): void;
  /** Sends the queued load events and a heartbeat immediately. */
  sendHeartbeatNow(): void;
  /**
   * Whether this VM is one of its data centre's readers, which read the
   * platform's store even when other VMs may rely on their peers: the first
   * hosts in string order of those that recently sent a message.
   */
  isStoreReader(): boolean;
  /** Whether the fleet has so many VMs that not all need to read the store. */
  hasStoreReaders(): boolean;
  /**
   * Whether the fleet exceeds `MAX_BROADCAST_MEMBERS`, so that messages mostly
   * stay within a data centre.
   */
  isLargeFleet(): boolean;
  /** Members of this data centre that have not expired, plus this VM. */
  localVmCount(): number;
  /**
   * The VMs that exchange load events about the upstreams of this data centre:
   * all, in a large fleet those of this data centre.
   */
  loadFleet(): LoadFleet;
  /**
   * The VMs that share what an upstream of a data centre takes. The same object
   * until the membership changes.
   */
  sharingVms(dataCentre: string): SharingVms;
  /**
   * Whether this VM knows all VMs with which it shares what upstreams of its
   * data centre take: it has run for `DISCOVERY_MS`, and no other VM knows more.
   */
  isFleetKnown(): boolean;
  /** Reachable VMs other than this one. */
  reachableMembers(): Iterable<Member>;
  /** Sends the queued load events immediately. */
  flushLoadEvents(): void;
  /** Reachable VMs, this one included. */
  reachableVmCount(): number;
  /** Members that have not expired, reachable or not, plus this VM. */
  knownVmCount(): number;
  /**
   * Whether each VM that was known lately sent a message within the last
   * heartbeats; of other data centres of a large fleet, one VM each.
   */
  isWhole(): boolean;
  /** Closes the socket and cancels the heartbeat and the pending batch. */
  close(): void;
}

/** A host that another VM has listed. */
interface Candidate {
  /** Time of discovery, in milliseconds. */
  sinceMs: number;
  /** Data centre of the VM that listed it, probably its own. */
  dataCentre: string;
}

/** Options of `createPeerNetwork`. */
export interface PeerNetworkOptions {
  clock: Clock;
  /** Address to bind; also identifies this VM to its peers. */
  host: string;
  /** UDP port, the same on all VMs. */
  port: number;
  dataCentre: string;
  /** Initial hosts, which may be unreachable; read for each heartbeat. */
  seeds(): readonly string[];
  /** Returns the state that the next heartbeat reports. */
  heartbeatState(): Omit<Heartbeat, "dataCentre" | "members">;
  /** Creates the socket for datagrams, by default one of `node:dgram`. */
  createSocket?: CreateDatagramSocket | undefined;
}

/** Creates an unbound UDP socket for IPv4. */
export type CreateDatagramSocket = () => Socket;

/** Applies a decoded message of a member. */
type ApplyMessage = (member: Member) => void;

const packr = new Packr({ useRecords: false });
const readMessage = tupleOf<[number, number, unknown]>(
  readNumber,
  readNumber,
  readAny,
);

/** Creates the network without opening its socket; call `start` for that. */
export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
  const { clock, host, port, dataCentre, seeds, heartbeatState } = options;
  const incarnation = randomInt(2 ** 32);
  const members = new Map<string, Member>();
  const reachableHosts = new Set<string>();
  /** Hosts known from heartbeats of others only, by name. */
  const candidates = new Map<string, Candidate>();
  /** Load events to be sent, by data centre; an empty name stands for all. */
  const queuedEvents = new Map<string, LoadEvent[]>();
  /** VMs that have expired, with their data centre and the time of that. */
  const expired = new Map<string, { dataCentre: string; atMs: number }>();
  /** Results of `sharingVms` by data centre, since the last change. */
  const sharingByCentre = new Map<string, SharingVms>();
  /** Result of `isFleetKnown` and its time. */
  let fleetKnown = { isKnown: false, atMs: -Infinity };
  let startedMs = Infinity;
  /** Result of `loadFleet`; undefined after a change of the membership. */
  let currentLoadFleet: LoadFleet | undefined;
  /** Whether a heartbeat is due at the end of this turn of the event loop. */
  let isAnnouncing = false;
  let cancelFlush: (() => void) | undefined;
  let cancelHeartbeat: (() => void) | undefined;
  let listener: PeerListener | undefined;
  let socket: Socket | undefined;
  let refusedMs = -Infinity;
  /** Round-robin position among the members of other data centres. */
  let remoteTurn = 0;

  const isLargeFleet = () => members.size > MAX_BROADCAST_MEMBERS;
  const heartbeatMs = () =>
    HEARTBEAT_MS + HEARTBEAT_MS_PER_MEMBER * members.size;

  function send(message: PeerMessage, hosts: Iterable<string>): void {
    const bytes = packr.pack(message);
    // A failed send is treated like a datagram that the network lost.
    for (const to of hosts) socket?.send(bytes, port, to, () => {});
  }

  function contactHosts(): Set<string> {
    const hosts = new Set<string>(members.keys());
    for (const seed of seeds()) hosts.add(seed);
    for (const name of candidates.keys()) hosts.add(name);
    hosts.delete(host);
    return hosts;
  }

  function sendHeartbeat(): void {
    cancelHeartbeat?.();
    // The `setImmediate` of `announce` may fire after `close`.
    if (!socket) return;
    cancelHeartbeat = clock.after(heartbeatMs(), sendHeartbeat);
    expireMembers();
    sendState(heartbeatTargets(), dataCentre);
  }

  /** Sends this VM's state, with some hosts of a data centre. */
  function sendState(hosts: Iterable<string>, centre: string): void {
    const state = {
      dataCentre,
      members: listSomeHosts(centre),
      knownVms: [localVmCount(), members.size + 1] as KnownVms,
      ...heartbeatState(),
    };
    send(
      [PeerMessageKind.Heartbeat, incarnation, encodeHeartbeat(state)],
      hosts,
    );
  }

  /**
   * Up to `MAX_LISTED_MEMBERS` reachable hosts, in a large fleet of a data
   * centre. Others with each call, as VMs that all list the same ones never
   * find the rest.
   */
  function listSomeHosts(centre: string): string[] {
    const isLarge = isLargeFleet();
    const hosts: string[] = [];
    for (const name of reachableHosts) {
      if (isLarge && members.get(name)?.dataCentre !== centre) continue;
      hosts.push(name);
    }
    if (hosts.length <= MAX_LISTED_MEMBERS) return hosts;
    const from = randomInt(hosts.length);
    return [...hosts.slice(from), ...hosts.slice(0, from)]
      .slice(0, MAX_LISTED_MEMBERS);
  }

  /** Sends a VM that is new to this one its state, and hosts near that VM. */
  function greet(name: string, centre: string): void {
    setImmediate(() => {
      if (socket) sendState([name], centre);
    });
  }

  /** Sends a heartbeat at the end of this turn of the event loop. */
  function announce(): void {
    if (isAnnouncing) return;
    isAnnouncing = true;
    setImmediate(() => {
      isAnnouncing = false;
      sendHeartbeat();
    });
  }

  /**
   * All hosts; in a large fleet those of this data centre and some others in
   * round-robin order.
   */
  function heartbeatTargets(): Iterable<string> {
    if (!isLargeFleet()) return contactHosts();
    const local: string[] = [];
    const remote: string[] = [];
    for (const name of contactHosts()) {
      const known = members.get(name) ?? candidates.get(name);
      const isLocal = known?.dataCentre === dataCentre;
      (isLocal ? local : remote).push(name);
    }
    for (
      let count = 0;
      count < Math.min(REMOTE_HEARTBEAT_TARGETS, remote.length);
      count++
    ) {
      local.push(remote[remoteTurn++ % remote.length]!);
    }
    return local;
  }

  /** Hosts of all members; in a large fleet some of each data centre. */
  function queryTargets(): Iterable<string> {
    if (!isLargeFleet()) return members.keys();
    const hostsByCentre = new Map<string, string[]>();
    for (const { host: to, dataCentre: centre } of members.values()) {
      if (!reachableHosts.has(to)) continue;
      const hosts = hostsByCentre.get(centre);
      if (hosts) hosts.push(to);
      else hostsByCentre.set(centre, [to]);
    }
    const targets = new Set<string>();
    for (const hosts of hostsByCentre.values()) {
      for (let count = 0; count < QUERIED_PER_DATA_CENTRE; count++) {
        targets.add(hosts[randomInt(hosts.length)]!);
      }
    }
    return targets;
  }

  /** Hosts of the members of a data centre; of all for an empty name. */
  function* hostsIn(centre: string): Iterable<string> {
    for (const member of members.values()) {
      if (centre === "" || member.dataCentre === centre) yield member.host;
    }
  }

  /** Whether a member sends to this VM by round-robin. */
  const isRoundRobin = (member: Member) =>
    isLargeFleet() && member.dataCentre !== dataCentre;

  /** Time in which a member's round-robin comes to each VM, in milliseconds. */
  const roundMs = () => heartbeatMs() * members.size / REMOTE_HEARTBEAT_TARGETS;

  /** Time without a message until a member is unreachable, in milliseconds. */
  function unreachableMs(member: Member): number {
    return isRoundRobin(member)
      ? roundMs() * REMOTE_UNREACHABLE_ROUNDS
      : Math.min(MEMBER_EXPIRY_MS, heartbeatMs() * MAX_MISSED_HEARTBEATS);
  }

  /** Time without a message until a member is removed, in milliseconds. */
  function expiryMs(member: Member): number {
    return isRoundRobin(member)
      ? Math.max(MEMBER_EXPIRY_MS, roundMs() * REMOTE_EXPIRY_ROUNDS)
      : MEMBER_EXPIRY_MS;
  }

  function expireMembers(): void {
    const nowMs = clock.now();
    for (const [name, { sinceMs }] of candidates) {
      if (nowMs - sinceMs > MEMBER_EXPIRY_MS) candidates.delete(name);
    }
    for (const [name, { atMs }] of expired) {
      if (nowMs - atMs <= REMEMBERED_MS) continue;
      expired.delete(name);
      onMembersChanged();
    }
    for (const member of members.values()) {
      const idleMs = nowMs - member.lastMessageMs;
      if (idleMs > unreachableMs(member)) setReachable(member.host, false);
      if (idleMs <= expiryMs(member)) continue;
      members.delete(member.host);
      if (!member.heartbeat.isStopping) {
        const { dataCentre: centre } = member;
        expired.set(member.host, { dataCentre: centre, atMs: nowMs });
      }
      onMembersChanged();
      listener?.onProcessLost(member.host);
    }
  }

  /** Drops what was derived from the members. */
  function onMembersChanged(): void {
    currentLoadFleet = undefined;
    sharingByCentre.clear();
  }

  function setReachable(name: string, present: boolean): void {
    if (reachableHosts.has(name) === present) return;
    currentLoadFleet = undefined;
    if (present) reachableHosts.add(name);
    else reachableHosts.delete(name);
    listener?.onMembership({
      host: name,
      present,
      members: reachableHosts.size + 1,
    });
  }

  function localVmCount(): number {
    let count = 1;
    for (const member of members.values()) {
      if (member.dataCentre === dataCentre) count++;
    }
    return count;
  }

  /** See `PeerNetwork.isWhole`. */
  function isWhole(): boolean {
    const sinceMs = clock.now() - heartbeatMs() * MAX_MISSED_HEARTBEATS;
    const isLarge = isLargeFleet();
    const absentCentres = new Set<string>();
    const presentCentres = new Set<string>();
    for (const member of members.values()) {
      const isRecent = member.lastMessageMs >= sinceMs;
      const isOne = !isLarge || member.dataCentre === dataCentre;
      if (isOne && !isRecent) return false;
      (isRecent ? presentCentres : absentCentres).add(member.dataCentre);
    }
    for (const centre of absentCentres) {
      if (!presentCentres.has(centre)) return false;
    }
    return true;
  }

  function loadFleet(): LoadFleet {
    return currentLoadFleet ??= createLoadFleet();
  }

  function createLoadFleet(): LoadFleet {
    const isLarge = isLargeFleet();
    const reachable = [host];
    for (const name of reachableHosts) {
      if (isLarge && members.get(name)?.dataCentre !== dataCentre) continue;
      reachable.push(name);
    }
    reachable.sort();
    const known = isLarge ? localVmCount() : members.size + 1;
    return { own: host, reachable, known };
  }

  function sharingVms(centre: string): SharingVms {
    let vms = sharingByCentre.get(centre);
    if (!vms) sharingByCentre.set(centre, vms = createSharingVms(centre));
    return vms;
  }

  function createSharingVms(centre: string): SharingVms {
    const isLarge = isLargeFleet();
    const hosts: string[] = [];
    const localHosts = new Set<string>();
    const add = (name: string, itsCentre: string) => {
      const isLocal = itsCentre === centre;
      if (isLocal) localHosts.add(name);
      if (isLocal || !isLarge) hosts.push(name);
    };
    add(host, dataCentre);
    for (const member of members.values()) add(member.host, member.dataCentre);
    for (const [name, { dataCentre: itsCentre }] of expired) {
      add(name, itsCentre);
    }
    return { own: host, hosts, localHosts };
  }

  function isFleetKnown(): boolean {
    const nowMs = clock.now();
    if (nowMs - fleetKnown.atMs >= FLEET_CHECK_MS) {
      fleetKnown = { isKnown: checkFleet(nowMs), atMs: nowMs };
    }
    return fleetKnown.isKnown;
  }

  /** See `PeerNetwork.isFleetKnown`. */
  function checkFleet(nowMs: number): boolean {
    if (nowMs - startedMs < DISCOVERY_MS) return false;
    const sinceMs = nowMs - heartbeatMs() * MAX_READER_MISSED_HEARTBEATS;
    const localVms = localVmCount();
    const isLarge = isLargeFleet();
    for (const member of members.values()) {
      if (member.lastMessageMs < sinceMs) continue;
      // It may be of this data centre.
      if (member.dataCentre === "") return false;
      if (member.heartbeatMs < sinceMs) continue;
      const [local, all] = member.heartbeat.knownVms ?? [0, 0];
      if (member.dataCentre === dataCentre && local > localVms) return false;
      if (!isLarge && all > members.size + 1) return false;
    }
    return true;
  }

  function flushEvents(): void {
    cancelFlush?.();
    cancelFlush = undefined;
    for (const [centre, events] of queuedEvents) {
      sendLoadEvents(events, [...hostsIn(centre)]);
    }
    queuedEvents.clear();
  }

  function sendLoadEvents(
    events: readonly LoadEvent[],
    hosts: readonly string[],
  ): void {
    for (const batch of inDatagrams(events.map(encodeLoadEvent))) {
      send([PeerMessageKind.Load, incarnation, batch], hosts);
    }
  }

  function publishLoadEvent(event: LoadEvent, targetDataCentre = ""): void {
    const centre = isLargeFleet() ? targetDataCentre : "";
    const events = queuedEvents.get(centre);
    if (events) events.push(event);
    else queuedEvents.set(centre, [event]);
    // In a large fleet a batch is assumed to go to one data centre, which has
    // one in `REMOTE_HEARTBEAT_TARGETS` members.
    const recipients = isLargeFleet()
      ? members.size / REMOTE_HEARTBEAT_TARGETS
      : members.size;
    cancelFlush ??= clock.after(
      BATCH_DELAY_MS + BATCH_DELAY_MS_PER_MEMBER * recipients,
      flushEvents,
    );
  }

  /** Updates or adds a message's sender; a new incarnation is a restart. */
  function touchMember(from: string, memberIncarnation: number): Member {
    let member = members.get(from);
    if (!member || member.incarnation !== memberIncarnation) {
      if (member) listener?.onProcessLost(from);
      member = {
        host: from,
        // A restarted VM is where it was.
        dataCentre: member?.dataCentre ?? "",
        incarnation: memberIncarnation,
        lastMessageMs: clock.now(),
        heartbeat: {
          dataCentre: "",
          revision: 0,
          confirmedAgeMs: Infinity,
          members: [],
          calls: [],
        },
        heartbeatMs: -Infinity,
      };
      members.set(from, member);
      expired.delete(from);
      onMembersChanged();
      // In a large fleet, only the new member is greeted, once its data centre
      // is known.
      if (!reachableHosts.has(from) && !isLargeFleet()) announce();
    }
    member.lastMessageMs = clock.now();
    setReachable(from, true);
    return member;
  }

  /** Decodes a datagram; returns what applies it, given its sender. */
  function decode(bytes: Uint8Array): (from: string) => void {
    const [kind, memberIncarnation, content] = readMessage(packr.unpack(bytes));
    const apply = decoders.get(kind)?.(content);
    return (from) => {
      // A kind of a later version shows at least that its sender is there.
      const member = touchMember(from, memberIncarnation);
      apply?.(member);
    };
  }

  function receive(bytes: Uint8Array, from: string): void {
    if (from === host) return;
    let apply: (from: string) => void;
    try {
      apply = decode(bytes);
    } catch (error) {
      refuse(from, (error as Error).message);
      return;
    }
    apply(from);
  }

  function refuse(from: string, reason: string): void {
    const nowMs = clock.now();
    if (nowMs - refusedMs < REFUSAL_INTERVAL_MS) return;
    refusedMs = nowMs;
    listener?.onRefused?.(from, reason);
  }

  function receiveHeartbeat(member: Member, heartbeat: Heartbeat): void {
    const isFirst = member.heartbeatMs === -Infinity;
    const wasGreeted = candidates.delete(member.host);
    if (isFirst && !wasGreeted && isLargeFleet()) {
      greet(member.host, heartbeat.dataCentre);
    }
    member.heartbeatMs = clock.now();
    member.heartbeat = heartbeat;
    if (member.dataCentre !== heartbeat.dataCentre) {
      member.dataCentre = heartbeat.dataCentre;
      onMembersChanged();
    }
    for (const name of heartbeat.members) {
      if (name === host || members.has(name) || candidates.has(name)) continue;
      const { dataCentre: centre } = heartbeat;
      candidates.set(name, { sinceMs: clock.now(), dataCentre: centre });
      if (isLargeFleet() && centre === dataCentre) greet(name, centre);
    }
    listener?.onHeartbeat(member);
  }

  /** Decodes the events of a batch that are sound and of a known kind. */
  function decodeLoadEvents(content: unknown): ApplyMessage {
    const refusals: string[] = [];
    const read = soundElementsOf(
      decodeLoadEvent,
      (reason) => refusals.push(reason),
    );
    const events = read(content).filter((event) => event !== undefined);
    return (member) => {
      for (const reason of refusals) refuse(member.host, reason);
      listener?.onLoadEvents(member, events);
    };
  }

  function replyTo(member: Member, id: string): void {
    const reply = listener?.onStreamQuery(id);
    if (!reply) return;
    const events = [encodeLoadEvent(reply)];
    send([PeerMessageKind.Load, incarnation, events], [member.host]);
  }

  /** Decoders of a message's content; each returns what applies it. */
  const decoders = new Map<number, (content: unknown) => ApplyMessage>([
    [PeerMessageKind.Heartbeat, (content) => {
      const heartbeat = decodeHeartbeat(content);
      return (member) => receiveHeartbeat(member, heartbeat);
    }],
    [PeerMessageKind.Load, decodeLoadEvents],
    [PeerMessageKind.Items, (content) => {
      const push = readPush(content);
      return (member) => listener?.onItems(member, push);
    }],
    [PeerMessageKind.StreamQuery, (content) => {
      const id = readText(content);
      return (member) => replyTo(member, id);
    }],
  ]);

  return {
    async start(peerListener) {
      listener = peerListener;
      socket = options.createSocket?.() ?? createSocket("udp4");
      socket.on("message", (bytes, { address }) => receive(bytes, address));
      socket.on("error", () => {});
      await new Promise<void>((resolve, reject) => {
        socket!.once("error", reject);
        socket!.bind(port, host, resolve);
      });
      startedMs = clock.now();
      sendHeartbeat();
    },
    publishLoadEvent,
    sendLoadEvents,
    publishFact: ({ values, remainingMs }) =>
      publishLoadEvent({ kind: LoadEventKind.Fact, values, remainingMs }),
    pushItems(push) {
      const message: PeerMessage = [PeerMessageKind.Items, incarnation, push];
      // Members pull what exceeds a datagram once they see the new revision.
      if (packr.pack(message).length > MAX_DATAGRAM_BYTES) return;
      send(message, hostsIn(isLargeFleet() ? dataCentre : ""));
    },
    queryStream(id) {
      send([PeerMessageKind.StreamQuery, incarnation, id], queryTargets());
    },
    isStoreReader() {
      const localHosts = [host];
      const sinceMs = clock.now() -
        heartbeatMs() * MAX_READER_MISSED_HEARTBEATS;
      for (const member of members.values()) {
        if (member.dataCentre !== dataCentre) continue;
        if (member.lastMessageMs >= sinceMs) localHosts.push(member.host);
      }
      localHosts.sort();
      return localHosts.indexOf(host) < READERS_PER_DATA_CENTRE;
    },
    hasStoreReaders: () => members.size + 1 >= MIN_VMS_WITH_READERS,
    isLargeFleet,
    localVmCount,
    loadFleet,
    sharingVms,
    isFleetKnown,
    flushLoadEvents: flushEvents,
    *reachableMembers() {
      for (const member of members.values()) {
        if (reachableHosts.has(member.host)) yield member;
      }
    },
    sendHeartbeatNow() {
      flushEvents();
      sendHeartbeat();
    },
    reachableVmCount: () => reachableHosts.size + 1,
    knownVmCount: () => members.size + 1,
    isWhole,
    close() {
      cancelHeartbeat?.();
      cancelFlush?.();
      socket?.close();
      socket = undefined;
    },
  };
}

/** Splits a list into batches for a datagram each; no item is split. */
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
