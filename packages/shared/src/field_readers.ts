import { Buffer } from "node:buffer";
import { isIPv4 } from "node:net";

/**
 * Returns a value of unknown origin as a `T`; throws a `FieldError` if it is of
 * another type or out of range.
 */
export type FieldReader<T> = (value: unknown) => T;

/** A value is not what its reader takes; the message starts with its path. */
export class FieldError extends Error {
  override readonly name = "FieldError";
}

/** A reader, with the field's name if the result has it under another one. */
type NamedReader = FieldReader<unknown> | [string, FieldReader<unknown>];

/** What `objectOf` reads with these readers. */
export type ObjectOf<Readers extends Record<string, NamedReader>> = {
  [Name in keyof Readers]: Readers[Name] extends FieldReader<infer T> ? T
    : Readers[Name] extends [string, FieldReader<infer T>] ? T
    : never;
};

/** A closed range of numbers. */
export interface NumberRange {
  min: number;
  max: number;
}

/** An address of a server, from text such as `10.0.0.1:80`. */
export interface ServerAddress {
  host: string;
  port: number;
}

/** Longest delay that a timer takes, in milliseconds. */
export const MAX_TIMER_MS = 2 ** 31 - 1;
/** Whole numbers from 0 that a double represents exactly. */
export const SAFE_RANGE: NumberRange = {
  min: 0,
  max: Number.MAX_SAFE_INTEGER,
};
/** Characters of a name, such as that of a service. */
const MAX_NAME_CHARACTERS = 256;
/** Levels of objects and arrays that a JSON text may have. */
const MAX_JSON_LEVELS = 64;
/** Characters of a field's name or value that a message repeats. */
const MAX_QUOTED_CHARACTERS = 40;
/** First part of the addresses that are multicast or reserved. */
const FIRST_MULTICAST = 224;
const MAX_PORT = 65_535;

/** Neither control characters nor halves of a surrogate pair. */
const NAME_PATTERN = /^[^\p{Cc}\p{Cs}]+$/u;
/** Visible ASCII characters, with spaces inside at most; may be empty. */
const TOKEN_PATTERN = /^(?:[!-~](?:[ -~]*[!-~])?)?$/;
const BASE64_PATTERN = /^[A-Za-z0-9+/]*={0,2}$/;
const ADDRESS_PATTERN = /^([\d.]+):([1-9]\d{0,4})$/;

const UTF8 = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true });
const QUOTE = 0x22;
const BACKSLASH = 0x5c;
/** Levels that a byte of a JSON text outside of strings begins or ends. */
const LEVELS_OF_BYTE: Record<number, number> = {
  0x5b: 1,
  0x5d: -1,
  0x7b: 1,
  0x7d: -1,
};

/** Reads a field of an object; a failure names the field. */
function readField<T>(
  name: string | number,
  read: FieldReader<T>,
  value: unknown,
): T {
  try {
    return read(value);
  } catch (error) {
    const path = String(name).slice(0, MAX_QUOTED_CHARACTERS);
    throw new FieldError(`${path}: ${(error as Error).message}`);
  }
}

/**
 * Reads these fields of an object and leaves out all others. A field gets
 * another name by a pair of its name in the object and its reader.
 */
export function objectOf<Readers extends Record<string, NamedReader>>(
  readers: Readers,
): FieldReader<ObjectOf<Readers>> {
  const fields = Object.entries(readers).map(([ownName, reader]) => {
    const [name, read] = Array.isArray(reader) ? reader : [ownName, reader];
    return { ownName, name, read };
  });
  return (value) => {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
      throw new FieldError("not an object");
    }
    const given = value as Record<string, unknown>;
    const result: Record<string, unknown> = {};
    for (const { ownName, name, read } of fields) {
      const field = Object.hasOwn(given, name) ? given[name] : undefined;
      result[ownName] = readField(name, read, field);
    }
    return result as ObjectOf<Readers>;
  };
}

/** Reads a list of anything. */
export const readList: FieldReader<unknown[]> = (value) => {
  if (Array.isArray(value)) return value;
  throw new FieldError("not a list");
};

/** Reads a list whose elements all have this type. */
export function listOf<T>(read: FieldReader<T>): FieldReader<T[]> {
  return (value) => {
    const list: T[] = [];
    for (const [at, element] of readList(value).entries()) {
      list.push(readField(at, read, element));
    }
    return list;
  };
}

/** Reads a list without the elements that can't be read. */
export function soundElementsOf<T>(
  read: FieldReader<T>,
  onRefused: (reason: string) => void,
): FieldReader<T[]> {
  return (value) => {
    const list: T[] = [];
    for (const element of readList(value)) {
      try {
        list.push(read(element));
      } catch (error) {
        onRefused((error as Error).message);
      }
    }
    return list;
  };
}

/** Reads a list of a fixed length whose elements have these types. */
export function tupleOf<T extends unknown[]>(
  ...readers: { [At in keyof T]: FieldReader<T[At]> }
): FieldReader<T> {
  return (value) => {
    const list = readList(value);
    return readers.map((read, at) => readField(at, read, list[at])) as T;
  };
}

/** Reads a value that may be missing, but not null. */
export function optional<T>(read: FieldReader<T>): FieldReader<T | undefined> {
  return (value) => value === undefined ? undefined : read(value);
}

/** Reads a value that gets a default if it is missing or null. */
export function withDefault<T, D>(
  read: FieldReader<T>,
  missing: D,
): FieldReader<T | D> {
  return (value) =>
    value === undefined || value === null ? missing : read(value);
}

/** Reads a value that gets another one if it can't be read. */
export function orElse<T>(read: FieldReader<T>, other: T): FieldReader<T> {
  return (value) => {
    try {
      return read(value);
    } catch {
      return other;
    }
  };
}

/** Reads a finite number in a range. */
export function numberIn({ min, max }: NumberRange): FieldReader<number> {
  return (value) => {
    if (typeof value === "number" && value >= min && value <= max) return value;
    throw new FieldError(`not a number from ${min} to ${max}`);
  };
}

/** Reads a whole number in a range. */
export function wholeNumberIn(
  { min, max }: NumberRange,
): FieldReader<number> {
  return (value) => {
    const isWhole = Number.isSafeInteger(value);
    if (isWhole && Number(value) >= min && Number(value) <= max) {
      return value as number;
    }
    throw new FieldError(`not a whole number from ${min} to ${max}`);
  };
}

/** Reads one of these values. */
export function oneOf<T>(values: readonly T[]): FieldReader<T> {
  return (value) => {
    if (values.includes(value as T)) return value as T;
    throw new FieldError(`none of ${values.join(", ")}`);
  };
}

/** Reads any number but NaN; it may be infinite. */
export const readNumber: FieldReader<number> = (value) => {
  if (typeof value === "number" && !Number.isNaN(value)) return value;
  throw new FieldError("not a number");
};

/** Reads a whole number from 0. */
export const readCount: FieldReader<number> = wholeNumberIn(SAFE_RANGE);

export const readAny: FieldReader<unknown> = (value) => value;

export const readBoolean: FieldReader<boolean> = (value) => {
  if (typeof value === "boolean") return value;
  throw new FieldError("not a boolean");
};

/** Reads any text. */
export const readText: FieldReader<string> = (value) => {
  if (typeof value === "string") return value;
  throw new FieldError("not a text");
};

/** Reads any text that is not empty, without control characters. */
export const readName: FieldReader<string> = (value) => {
  const isName = typeof value === "string" &&
    value.length <= MAX_NAME_CHARACTERS && NAME_PATTERN.test(value);
  if (isName) return value;
  throw new FieldError("not a name");
};

/** Reads a text that a header can carry as it is; it may be empty. */
export const readToken: FieldReader<string> = (value) => {
  const isToken = typeof value === "string" &&
    value.length <= MAX_NAME_CHARACTERS && TOKEN_PATTERN.test(value);
  if (isToken) return value;
  throw new FieldError("not a text that a header can carry");
};

/** Reads an IPv4 address of one machine and a port. */
export const readServerAddress: FieldReader<ServerAddress> = (value) => {
  const [, host = "", port] = ADDRESS_PATTERN.exec(readText(value)) ?? [];
  const first = Number.parseInt(host);
  const isUsable = isIPv4(host) && first > 0 && first < FIRST_MULTICAST &&
    Number(port) <= MAX_PORT;
  if (isUsable) return { host, port: Number(port) };
  throw new FieldError("not an IPv4 address and port of a machine");
};

/** Reads bytes that are not encoded. */
export const readBytes: FieldReader<Uint8Array> = (value) => {
  if (value instanceof Uint8Array) return value;
  throw new FieldError("not bytes");
};

/** Reads standard base64 with padding. */
export const readBase64: FieldReader<Uint8Array> = (value) => {
  const text = readText(value);
  if (text.length % 4 === 0 && BASE64_PATTERN.test(text)) {
    return Buffer.from(text, "base64");
  }
  throw new FieldError("not base64");
};

/**
 * Parses JSON in UTF-8 whose numbers are finite and that has at most
 * `MAX_JSON_LEVELS` levels of objects and arrays; throws for any other bytes.
 */
export function parseJson(bytes: Uint8Array): unknown {
  const text = UTF8.decode(bytes);
  checkLevels(bytes);
  const value: unknown = JSON.parse(text);
  checkNumbers(value);
  return value;
}

/** Throws for a text that is nested too deeply to be read by a recursion. */
function checkLevels(bytes: Uint8Array): void {
  let levels = 0;
  let isInText = false;
  for (let at = 0; at < bytes.length; at++) {
    const byte = bytes[at]!;
    if (byte === QUOTE) isInText = !isInText;
    else if (isInText) at += byte === BACKSLASH ? 1 : 0;
    else levels += LEVELS_OF_BYTE[byte] ?? 0;
    if (levels > MAX_JSON_LEVELS) {
      throw new FieldError(`more than ${MAX_JSON_LEVELS} levels`);
    }
  }
}

/** Throws for a number that a double can't hold. */
function checkNumbers(value: unknown): void {
  if (value === Infinity || value === -Infinity) {
    throw new FieldError("too large a number");
  }
  if (typeof value !== "object" || value === null) return;
  for (const element of Object.values(value)) checkNumbers(element);
}
