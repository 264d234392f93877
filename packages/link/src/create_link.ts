import {
  type Clock,
  createSubject,
  LogPart,
  type Role,
  useLog,
} from "@rosemarytiller/shared";
import type { Stream } from "most";
import { Packr } from "msgpackr";
import { Buffer } from "node:buffer";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { once } from "node:events";
import type { WebSocket } from "ws";
import { MESSAGE_SHAPES, SHAPES_HASH } from "./message_shapes.ts";
import {
  type HelloMessage,
  type Message,
  MessageKind,
  type ProofMessage,
} from "./messages.ts";

/** Longest time for the other side to prove that it holds the key. */
export const HANDSHAKE_TIMEOUT_MS = 3000;
/** Messages of each side in the handshake. */
const HANDSHAKE_MESSAGES = 2;
/** Largest message between processes, in bytes. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** How a process presents itself on a link. */
export interface LinkIdentity {
  /** VM of the process. */
  vm: string;
  /** Role of the process. */
  role: Role;
  /** Number of this start of the process. */
  incarnation: string;
  /** Key that all processes share. */
  key: string;
}

/** An authenticated connection to another process of the system. */
export interface Link {
  /** VM of the other side. */
  readonly vm: string;
  /** Role of the other side. */
  readonly role: Role;
  /** Number of the other side's start. */
  readonly incarnation: string;
  /** Messages of the other side, in order; ends with the link. */
  readonly messages: Stream<Message>;
  /** Sends a message; messages on a closed link are dropped. */
  send(message: Message): void;
  /** Ends the link. */
  close(): void;
  /** Resolves when the link has ended. */
  readonly closed: Promise<void>;
  /** Bytes sent and received so far. */
  traffic(): { sentBytes: number; receivedBytes: number };
}

/** Authenticates both sides of a socket and returns the link. */
export async function createLink(
  socket: WebSocket,
  identity: LinkIdentity,
  options: { clock: Clock },
): Promise<Link> {
  // The handshake carries the field names, so that any version can read it.
  const plain = new Packr({ useRecords: false });
  let writer = plain;
  let reader = plain;
  let received = 0;
  let sentBytes = 0;
  let receivedBytes = 0;
  const closed = once(socket, "close").then(() => {}, () => {});
  socket.on("error", () => socket.terminate());
  function send(message: Message): void {
    if (socket.readyState !== socket.OPEN) return;
    const bytes = writer.pack(message);
    sentBytes += bytes.length;
    socket.send(bytes);
  }
  function unpack(data: Buffer): Message | undefined {
    receivedBytes += data.length;
    try {
      const format = received++ < HANDSHAKE_MESSAGES ? plain : reader;
      const message = format.unpack(data) as Message;
      if (received === 1) reader = formatFor(message, plain);
      return message;
    } catch {
      useLog(LogPart.Link).warn("A message could not be read; closing.");
      socket.terminate();
      return undefined;
    }
  }
  // Listening starts before anything is awaited, so that no message is lost.
  const inbox = createInbox();
  let accept: (message: Message) => void = inbox.put;
  socket.on("message", (data: Buffer) => {
    const message = unpack(data);
    if (message) accept(message);
  });
  closed.then(inbox.end);
  const { clock } = options;
  const peer = await authenticate(socket, identity, { clock, send, inbox });
  writer = formatFor(peer, plain);
  const subject = createSubject<Message>();
  for (const message of inbox.drain()) subject.next(message);
  accept = subject.next;
  closed.then(() => subject.end());
  return {
    vm: peer.vm,
    role: peer.role,
    incarnation: peer.incarnation,
    messages: subject.stream,
    send,
    close: () => socket.close(),
    closed,
    traffic: () => ({ sentBytes, receivedBytes }),
  };
}

/** Format after the handshake: without names of fields that both know. */
function formatFor(hello: Message, plain: Packr): Packr {
  if (hello.kind !== MessageKind.Hello) return plain;
  if (hello.shapes !== SHAPES_HASH) return plain;
  const structures = MESSAGE_SHAPES.map((shape) => [...shape]);
  // What is not among them is described in each message anew.
  return new Packr({ structures, maxSharedStructures: structures.length });
}

interface Inbox {
  put(message: Message): void;
  take(): Promise<Message>;
  drain(): Message[];
  end(): void;
}

/** Holds the messages of the handshake until they are asked for. */
function createInbox(): Inbox {
  const messages: Message[] = [];
  let wake: (() => void) | undefined;
  let ended = false;
  return {
    put(message) {
      messages.push(message);
      wake?.();
    },
    async take() {
      while (messages.length === 0) {
        if (ended) throw new Error("link closed in handshake");
        await new Promise<void>((resolve) => wake = resolve);
      }
      return messages.shift()!;
    },
    drain: () => messages.splice(0),
    end() {
      ended = true;
      wake?.();
    },
  };
}

interface HandshakeIo {
  clock: Clock;
  send(message: Message): void;
  inbox: Inbox;
}

async function authenticate(
  socket: WebSocket,
  identity: LinkIdentity,
  io: HandshakeIo,
): Promise<HelloMessage> {
  const nonce = randomBytes(16).toString("base64url");
  const cancel = io.clock.after(HANDSHAKE_TIMEOUT_MS, () => socket.terminate());
  try {
    const { vm, role, incarnation, key } = identity;
    if (socket.readyState === socket.CONNECTING) await once(socket, "open");
    const shapes = SHAPES_HASH;
    io.send({ kind: MessageKind.Hello, vm, role, incarnation, nonce, shapes });
    const peer = await io.inbox.take();
    if (peer.kind !== MessageKind.Hello) throw refuse(socket, "no hello");
    io.send({
      kind: MessageKind.Proof,
      proof: sign(key, [peer.nonce, vm, role, incarnation]),
    });
    const answer = await io.inbox.take();
    const expected = sign(key, [nonce, peer.vm, peer.role, peer.incarnation]);
    if (!isProof(answer, expected)) {
      warnOfKey(`${peer.vm}/${peer.role}`);
      throw refuse(socket, "wrong key");
    }
    return peer;
  } finally {
    cancel();
  }
}

const peersOfOtherKey = new Set<string>();

/** Warns once of a peer; it will try again every second. */
function warnOfKey(peer: string): void {
  if (peersOfOtherKey.has(peer)) return;
  peersOfOtherKey.add(peer);
  useLog(LogPart.Link).warn(`${peer} has another link key; refused.`);
}

function sign(key: string, parts: readonly string[]): string {
  return createHmac("sha256", key).update(parts.join("\n")).digest("base64url");
}

function isProof(message: Message, expected: string): message is ProofMessage {
  if (message.kind !== MessageKind.Proof) return false;
  const given = Buffer.from(String(message.proof));
  const wanted = Buffer.from(expected);
  return given.length === wanted.length && timingSafeEqual(given, wanted);
}

function refuse(socket: WebSocket, reason: string): Error {
  socket.terminate();
  return new Error(`link refused: ${reason}`);
}
