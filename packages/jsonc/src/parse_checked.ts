import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import type { z } from "zod";

/** A fault in a JSON-with-comments text, with its place and mend. */
export interface Problem {
  /** File or key that holds the text. */
  file: string;
  /** Line, from 1. */
  line: number;
  /** Column, from 1. */
  column: number;
  /** Path of the field, such as `classes[0].tier`. */
  field: string;
  /** What is wrong. */
  message: string;
  /** How to mend it. */
  mend: string;
}

/** Thrown for a text that does not pass its schema. */
export class CheckError extends Error {
  /** All faults found, in the order of the text. */
  readonly problems: readonly Problem[];

  constructor(problems: readonly Problem[]) {
    super(problems.map(formatProblem).join("\n"));
    this.name = "CheckError";
    this.problems = problems;
  }
}

/** One line for a person: `file:line:column field: message; mend`. */
export function formatProblem(problem: Problem): string {
  const { file, line, column, field, message, mend } = problem;
  const place = `${file}:${line}:${column}`;
  return `${place} ${field || "(whole text)"}: ${message}; ${mend}`;
}

/** Parses JSON with comments and checks it; throws `CheckError`. */
export function parseChecked<T>(
  text: string,
  options: { file: string; schema: z.ZodType<T> },
): T {
  const { file, schema } = options;
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || !root) {
    throw new CheckError([syntaxProblem(text, file, errors[0])]);
  }
  const result = schema.safeParse(getNodeValue(root));
  if (result.success) return result.data;
  const problems = result.error.issues.flatMap((issue) =>
    issueProblems(issue, { text, file, root })
  );
  throw new CheckError(problems);
}

/** Place of a field in a text, for faults found after the schema. */
export function locateField(
  text: string,
  path: readonly (string | number)[],
): { line: number; column: number } {
  const root = parseTree(text, [], { allowTrailingComma: true });
  return positionOf(text, nearestNode(root, path)?.offset ?? 0);
}

/** Writes a path as `classes[0].tier`. */
export function formatPath(path: readonly PropertyKey[]): string {
  let written = "";
  for (const part of path) {
    if (typeof part === "number") written += `[${part}]`;
    else written += written ? `.${String(part)}` : String(part);
  }
  return written;
}

function syntaxProblem(
  text: string,
  file: string,
  error: ParseError | undefined,
): Problem {
  const place = positionOf(text, error?.offset ?? 0);
  const message = error ? printParseErrorCode(error.error) : "EmptyText";
  const mend = "write JSON with comments at this place";
  return { file, ...place, field: "", message, mend };
}

interface IssueContext {
  text: string;
  file: string;
  root: Node;
}

function issueProblems(
  issue: z.core.$ZodIssue,
  context: IssueContext,
): Problem[] {
  const path = issue.path as (string | number)[];
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => unknownField([...path, key], context));
  }
  const node = nearestNode(context.root, path);
  return [{
    file: context.file,
    ...positionOf(context.text, node?.offset ?? 0),
    field: formatPath(path),
    message: issue.message,
    mend: mendOf(issue),
  }];
}

function unknownField(
  path: (string | number)[],
  context: IssueContext,
): Problem {
  const name = String(path.at(-1));
  const node = nearestNode(context.root, path);
  return {
    file: context.file,
    ...positionOf(context.text, node?.offset ?? 0),
    field: formatPath(path),
    message: `unknown field "${name}"`,
    mend: "remove it or use a field of the table in docs/FIELDS.md",
  };
}

function mendOf(issue: z.core.$ZodIssue): string {
  if (issue.code === "invalid_value") {
    return `use one of ${issue.values.map(String).join(", ")}`;
  }
  if (issue.code === "invalid_type") return `write a ${issue.expected}`;
  if (issue.code === "too_small") return `use at least ${issue.minimum}`;
  if (issue.code === "too_big") return `use at most ${issue.maximum}`;
  return "see docs/FIELDS.md";
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
