import { hashText } from "@rosemarytiller/shared/rendezvous";

/**
 * Field names, in order, of the messages that make up most of the traffic, as
 * shared record structures of msgpackr: the encoder then omits the names. A
 * message with any other fields is sent with its field names.
 */
export const MESSAGE_SHAPES: readonly (readonly string[])[] = [
  // Permit request
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
  // Grant
  ["kind", "id", "permit", "upstream", "stamp"],
  // Return of a permit
  [
    "kind",
    "permit",
    "pool",
    "upstream",
    "outcome",
    "firstTokenMs",
    "totalMs",
    "tokens",
    "streamed",
  ],
  // Heartbeat
  ["kind", "stamp", "idle", "pools", "revision", "listRevision"],
  // Backing, without changes of leases
  ["kind", "echo", "stamp", "listRevision", "listAgeMs", "vouches"],
  // Pool summary within a heartbeat
  ["pool", "free", "waitMs"],
];

/** Hash of the shapes; processes with equal hashes omit field names. */
export const SHAPES_HASH = hashText(JSON.stringify(MESSAGE_SHAPES));
