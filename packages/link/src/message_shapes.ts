import { hashText } from "@rosemarytiller/shared/rendezvous";

/**
 * Field names, in order, of the messages that make up most of the traffic, as
 * shared record structures of msgpackr: the encoder then omits the names. A
 * message with any other fields is sent with its field names.
 */
export const MESSAGE_SHAPES: readonly (readonly string[])[] = [
  [
    "kind",
    "id",
    "request",
    "className",
    "client",
    "promptTokens",
    "prefix",
    "fingerprint",
    "stamp",
    "pool",
    "avoid",
    "retry",
    "queueMs",
  ],
  ["kind", "id", "permit", "upstream", "stamp"],
  [
    "kind",
    "permit",
    "pool",
    "upstream",
    "outcome",
    "firstTokenMs",
    "totalMs",
    "tokens",
  ],
  ["kind", "stamp", "idle", "pools", "revision", "listRevision"],
  ["kind", "echo", "stamp", "listRevision", "listAgeMs", "vouches"],
  ["pool", "free", "waitMs"],
];

/** Hash of the shapes; processes with equal hashes omit field names. */
export const SHAPES_HASH = hashText(JSON.stringify(MESSAGE_SHAPES));
