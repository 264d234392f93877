import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import type { z } from "zod";
import { safeParse } from "zod/v4/core";
import { listKnownNames } from "./describe_fields.ts";
import { findDuplicateKeys } from "./find_duplicate_keys.ts";
import { findNearestName } from "./find_nearest_name.ts";

/** A problem in a JSON-with-comments text, with its position and a fix. */
export interface Problem {
  /** File name, or key of the published document, of the text. */
  file: string;
  /** Line number, from 1. */
  line: number;
  /** Column number, from 1. */
  column: number;
  /** Path of the field, such as `classes[0].tier`; empty for the whole text. */
  field: string;
  /** What is wrong. */
  message: string;
  /** How to fix it. */
  mend: string;
}

/** Thrown for a text with syntax errors or one that fails its checks. */
export class CheckError extends Error {
  /** All problems found, in text order. */
  readonly problems: readonly Problem[];

  constructor(problems: readonly Problem[]) {
    super(problems.map(formatProblem).join("\n"));
    this.name = "CheckError";
    this.problems = problems;
  }
}

/** Formats one readable line: `file:line:column field: message; mend`. */
export function formatProblem(problem: Problem): string {
  const { file, line, column, field, message, mend } = problem;
  const place = `${file}:${line}:${column}`;
  return `${place} ${field || "(whole text)"}: ${message}; ${mend}`;
}

/**
 * Parses JSON with comments and checks it against a schema. Throws a
 * `CheckError` for syntax errors, duplicate keys and schema violations.
 */
export function parseChecked<T>(
  text: string,
  options: { file: string; schema: z.core.$ZodType<T> },
): T {
  const { file, schema } = options;
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || !root) {
    throw new CheckError(createSyntaxProblems(text, file, errors));
  }
  const context = { text, file, root, schema };
  const problems = findDuplicateProblems(context);
  const result = safeParse(schema, getNodeValue(root), { reportInput: true });
  for (const issue of result.error?.issues ?? []) {
    problems.push(...createIssueProblems(issue, context));
  }
  if (result.success && problems.length === 0) return result.data;
  throw new CheckError(sortProblems(problems));
}

/** Returns a copy of the problems in text order. */
export function sortProblems(problems: readonly Problem[]): Problem[] {
  return [...problems].sort((left, right) =>
    left.line - right.line || left.column - right.column
  );
}

/**
 * Returns the position of a field in a text, or of its nearest existing
 * ancestor, for problems that are found after the schema check.
 */
export function locateField(
  text: string,
  path: readonly (string | number)[],
): { line: number; column: number } {
  const root = parseTree(text, [], { allowTrailingComma: true });
  return positionOf(text, nearestNode(root, path)?.offset ?? 0);
}

/** Formats a path such as `classes[0].tier`. */
export function formatPath(path: readonly PropertyKey[]): string {
  let written = "";
  for (const part of path) {
    if (typeof part === "number") written += `[${part}]`;
    else written += written ? `.${String(part)}` : String(part);
  }
  return written;
}

function createSyntaxProblems(
  text: string,
  file: string,
  errors: readonly ParseError[],
): Problem[] {
  const mend = "write JSON with comments at this place";
  const found = errors.map((error) => ({
    file,
    ...positionOf(text, error.offset),
    field: "",
    message: printParseErrorCode(error.error),
    mend,
  }));
  if (found.length > 0) return found;
  return [{ file, line: 1, column: 1, field: "", message: "EmptyText", mend }];
}

interface IssueContext {
  text: string;
  file: string;
  root: Node;
  schema: z.core.$ZodType;
}

function findDuplicateProblems(context: IssueContext): Problem[] {
  const { text, file, root } = context;
  return findDuplicateKeys(root).map(({ path, offset }) => ({
    file,
    ...positionOf(text, offset),
    field: formatPath(path),
    message: `"${path.at(-1)}" occurs twice in the same object`,
    mend: "keep one of the two",
  }));
}

function createIssueProblems(
  issue: z.core.$ZodIssue,
  context: IssueContext,
): Problem[] {
  const path = issue.path as (string | number)[];
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      createUnknownFieldProblem([...path, key], context)
    );
  }
  const node = nearestNode(context.root, path);
  return [{
    file: context.file,
    ...positionOf(context.text, node?.offset ?? 0),
    field: formatPath(path),
    message: messageOf(issue),
    mend: mendOf(issue),
  }];
}

function createUnknownFieldProblem(
  path: (string | number)[],
  context: IssueContext,
): Problem {
  const name = String(path.at(-1));
  const node = keyNode(context.root, path);
  const known = listKnownNames(context.schema, path.slice(0, -1));
  const nearest = findNearestName(name, known);
  return {
    file: context.file,
    ...positionOf(context.text, node?.offset ?? 0),
    field: formatPath(path),
    message: `unknown field "${name}"`,
    mend: nearest
      ? `did you mean "${nearest}"?`
      : "remove it or use a field of the table in docs/FIELDS.md",
  };
}

function messageOf(issue: z.core.$ZodIssue): string {
  const missing = issue.code === "invalid_type" && issue.input === undefined;
  return missing ? "the field is missing" : issue.message;
}

function mendOf(issue: z.core.$ZodIssue): string {
  if (issue.code === "invalid_value") {
    return `use one of ${issue.values.map(String).join(", ")}`;
  }
  if (issue.code === "invalid_type") return `write a value (${issue.expected})`;
  if (issue.code === "too_small") return `use at least ${issue.minimum}`;
  if (issue.code === "too_big") return `use at most ${issue.maximum}`;
  if (issue.code === "invalid_key") return `use a name like "north-1"`;
  if (issue.code === "custom" && issue.params?.mend) {
    return String(issue.params.mend);
  }
  return MENDS_BY_FORMAT[formatOf(issue)] ?? "see docs/FIELDS.md";
}

function formatOf(issue: z.core.$ZodIssue): string {
  return issue.code === "invalid_format" ? issue.format : "";
}

const MENDS_BY_FORMAT: Record<string, string> = {
  regex: "write it in the form that docs/FIELDS.md gives",
  url: "write a URL such as http://10.0.0.1:8000",
};

/** Returns the key node of a field, or the value node if it has no key. */
function keyNode(
  root: Node,
  path: readonly (string | number)[],
): Node | undefined {
  const value = nearestNode(root, path);
  const property = value?.parent;
  return property?.type === "property" ? property.children?.[0] : value;
}

function nearestNode(
  root: Node | undefined,
  path: readonly (string | number)[],
): Node | undefined {
  for (let length = path.length; root && length >= 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node) return node;
  }
  return root;
}

function positionOf(
  text: string,
  offset: number,
): { line: number; column: number } {
  const before = text.slice(0, offset);
  const line = before.split("\n").length;
  return { line, column: offset - before.lastIndexOf("\n") };
}
