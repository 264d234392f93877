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

/** Maximum time for the peer to prove that it has the link key. */
export const HANDSHAKE_TIMEOUT_MS = 3000;
/** Handshake messages that each side sends: a hello and a proof. */
const HANDSHAKE_MESSAGES = 2;
/** Maximum size of a message between processes, in bytes. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Identity that a process presents to its peer during the handshake. */
export interface LinkIdentity {
  /** Name of the VM that runs the process. */
  vm: string;
  role: Role;
  /** Number of this process start, in decimal digits; larger at each start. */
  incarnation: string;
  /** Shared secret of all processes; authenticates both sides. */
  key: string;
}

/** An authenticated connection to another process of the system. */
export interface Link {
  /** Name of the peer's VM. */
  readonly vm: string;
  /** Role of the peer process. */
  readonly role: Role;
  /** Number of the peer's start, in decimal digits; larger at each start. */
  readonly incarnation: string;
  /** Messages from the peer, in order; the stream ends when the link closes. */
  readonly messages: Stream<Message>;
  /** Sends a message; drops it if the link is not open. */
  send(message: Message): void;
  /** Starts the closing handshake; `closed` resolves when it is done. */
  close(): void;
  /** Resolves when the link has closed or failed; never rejects. */
  readonly closed: Promise<void>;
  /** Payload bytes sent and received so far, handshake included. */
  traffic(): { sentBytes: number; receivedBytes: number };
}

/**
 * Authenticates both sides of a web socket and returns the link. Rejects and
 * terminates the socket if the handshake fails or takes longer than
 * `HANDSHAKE_TIMEOUT_MS`.
 */
export async function createLink(
  socket: WebSocket,
  identity: LinkIdentity,
  options: { clock: Clock },
): Promise<Link> {
  // Handshake messages include the field names, so that any version can decode
  // them.
  const plain = new Packr({ useRecords: false });
  let encoder = plain;
  let decoder = plain;
  let receivedCount = 0;
  let sentBytes = 0;
  let receivedBytes = 0;
  const closed = once(socket, "close").then(() => {}, () => {});
  socket.on("error", () => socket.terminate());
  function send(message: Message): void {
    if (socket.readyState !== socket.OPEN) return;
    const bytes = encoder.pack(message);
    sentBytes += bytes.length;
    socket.send(bytes);
  }
  function unpack(data: Buffer): Message | undefined {
    receivedBytes += data.length;
    try {
      const packr = receivedCount++ < HANDSHAKE_MESSAGES ? plain : decoder;
      const message = packr.unpack(data) as Message;
      if (receivedCount === 1) decoder = selectPackr(message, plain);
      return message;
    } catch {
      useLog(LogPart.Link).warn(
        "Cannot decode a message from the peer; closing the link.",
      );
      socket.terminate();
      return undefined;
    }
  }
  // The listener is added before the first await, so that no message is lost.
  const inbox = createHandshakeInbox();
  let deliver: (message: Message) => void = inbox.put;
  socket.on("message", (data: Buffer) => {
    const message = unpack(data);
    if (message) deliver(message);
  });
  closed.then(inbox.close);
  const { clock } = options;
  const peer = await authenticate(socket, identity, { clock, send, inbox });
  encoder = selectPackr(peer, plain);
  const subject = createSubject<Message>();
  for (const message of inbox.drain()) subject.next(message);
  deliver = subject.next;
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

/**
 * Selects the encoding after the handshake: shared record structures, which
 * omit the field names, if both sides have the same ones; else `plain`.
 */
function selectPackr(hello: Message, plain: Packr): Packr {
  if (hello.kind !== MessageKind.Hello) return plain;
  if (hello.shapes !== SHAPES_HASH) return plain;
  const structures = MESSAGE_SHAPES.map((shape) => [...shape]);
  // Any other structure is sent with its field names in each message.
  return new Packr({ structures, maxSharedStructures: structures.length });
}

interface HandshakeInbox {
  put(message: Message): void;
  /** Waits for the next message; rejects when the link closes first. */
  take(): Promise<Message>;
  /** Removes and returns all buffered messages. */
  drain(): Message[];
  close(): void;
}

/** Buffers messages that arrive before the handshake is complete. */
function createHandshakeInbox(): HandshakeInbox {
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
        if (ended) throw new Error("link closed during the handshake");
        await new Promise<void>((resolve) => wake = resolve);
      }
      return messages.shift()!;
    },
    drain: () => messages.splice(0),
    close() {
      ended = true;
      wake?.();
    },
  };
}

interface HandshakeIo {
  clock: Clock;
  send(message: Message): void;
  inbox: HandshakeInbox;
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
    if (peer.kind !== MessageKind.Hello) {
      throw rejectPeer(socket, "expected a hello message");
    }
    io.send({
      kind: MessageKind.Proof,
      proof: sign(key, [peer.nonce, vm, role, incarnation]),
    });
    const answer = await io.inbox.take();
    const expected = sign(key, [nonce, peer.vm, peer.role, peer.incarnation]);
    if (!isValidProof(answer, expected)) {
      warnKeyMismatchOnce(`${peer.vm}/${peer.role}`);
      throw rejectPeer(socket, "the proof does not match the link key");
    }
    return peer;
  } finally {
    cancel();
  }
}

const peersWithKeyMismatch = new Set<string>();

/** Warns once per peer, as a rejected peer reconnects about every second. */
function warnKeyMismatchOnce(peer: string): void {
  if (peersWithKeyMismatch.has(peer)) return;
  peersWithKeyMismatch.add(peer);
  useLog(LogPart.Link).warn(`${peer} has another link key; link refused.`);
}

function sign(key: string, parts: readonly string[]): string {
  return createHmac("sha256", key).update(parts.join("\n")).digest("base64url");
}

function isValidProof(
  message: Message,
  expected: string,
): message is ProofMessage {
  if (message.kind !== MessageKind.Proof) return false;
  const given = Buffer.from(String(message.proof));
  const wanted = Buffer.from(expected);
  return given.length === wanted.length && timingSafeEqual(given, wanted);
}

function rejectPeer(socket: WebSocket, reason: string): Error {
  socket.terminate();
  return new Error(`link refused: ${reason}`);
}
